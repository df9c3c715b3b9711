/** The size that the users need in two years, and what control may cost a node then; from their first letter. */
export const TARGET = {
  nodes: 340,
  engines: 2_900,
  accelerators: 5_900,
  callers: 18_000,
  models: 17,
  regions: 8,
  failureDomains: 30,
  requestsPerSecond: 6_600,
  tokensPerSecond: 2_200_000,
  configurationChangesPerDay: 16_000,
  instancesReplacedPerDay: 790,
  configurationSpreadMs: 5_000,
  serviceReadsPerSecond: 2_000,
} as const;

/** Limits of what one node may spend on control. */
export const CONTROL_LIMITS = {
  corePercent: 1.2,
  memoryBytes: 32 * 2 ** 20,
  bytesPerSecond: 3 * 1024,
} as const;

/** Shares of one node, were all alike. */
export const PER_NODE = {
  requestsPerSecond: TARGET.requestsPerSecond / TARGET.nodes,
  tokensPerSecond: TARGET.tokensPerSecond / TARGET.nodes,
} as const;
