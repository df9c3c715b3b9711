import { z } from 'zod';

/** Below this, an event of the maximum size would have no room. */
const MIN_MEMORY_BYTES = 134_217_728;
const DEFAULT_MEMORY_BYTES = 367_001_600;

const listenerSchema = z.strictObject({
  host: z.string().describe('IP address to listen on'),
  port: z.int().min(0).max(65_535).describe('Port; 0 selects a free one'),
});

/** Switches for decisions under load. Each takes effect only where the published configuration has what it needs. */
export const trafficPolicySchema = z.strictObject({
  priorityAdmission: z
    .boolean()
    .default(true)
    .describe('Admit less urgent requests only where they leave more urgent ones in time'),
  accountShares: z
    .boolean()
    .default(false)
    .describe('Refuse accounts over their fair share first while a service is scarce'),
  serverSpeeds: z
    .boolean()
    .default(true)
    .describe('Predict with the speed of each server instead of the speed of its service'),
  regionalRoom: z
    .boolean()
    .default(false)
    .describe('Divide requests that leave this region over the others by their free capacity'),
  crashingParts: z
    .boolean()
    .default(true)
    .describe('Refuse requests with a part of the prompt that crashes servers'),
  silenceHedges: z
    .boolean()
    .default(true)
    .describe('Send a request that may be repeated to another server too while its own is silent'),
});

/** Switches for decisions under load, with defaults filled in. */
export type TrafficPolicy = z.output<typeof trafficPolicySchema>;

/** Settings of an instance that passes requests through. */
export const relaySettingsSchema = z.strictObject({
  instanceId: z.string().min(1),
  region: z.string().min(1),
  failureDomain: z.string().min(1),
  regionOfDomain: z
    .record(z.string(), z.string())
    .describe('Region of each failure domain of the deployment'),
  listeners: z.strictObject({
    callers: listenerSchema,
    peers: listenerSchema.describe('Membership exchanges between instances'),
    forwarding: listenerSchema.describe('Requests forwarded by other instances'),
  }),
  forwardingPort: z
    .int()
    .min(0)
    .describe('Port on which all instances accept forwarded requests; 0 if each has its own'),
  seedPeers: z
    .array(z.string())
    .describe('Addresses of instances to contact first; they may be stale'),
  retryBudget: z.strictObject({
    ratio: z.number().min(0).describe('Retries per request, over all instances'),
    slack: z.number().min(0).describe('Additional retries per window, over all instances'),
    windowMs: z.number().min(100),
  }),
  stopWithinMs: z
    .number()
    .min(1_000)
    .describe('Time between the signal to stop and the moment at which the process is killed, ms'),
  memoryBytes: z
    .int()
    .min(MIN_MEMORY_BYTES)
    .default(DEFAULT_MEMORY_BYTES)
    .describe('Memory that the process may take'),
  trafficPolicy: trafficPolicySchema.prefault({}),
});

/** Settings with defaults filled in. */
export type RelaySettings = z.output<typeof relaySettingsSchema>;
