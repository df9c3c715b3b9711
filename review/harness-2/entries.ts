/** Entries of the store, as the pages spell them. */

export interface RouteEntry {
  readonly Name: string;
  readonly Host: string;
  readonly Prefix: string;
  readonly Kind: 'safe' | 'unsafe' | 'streaming';
  readonly TimeoutMs: number;
  readonly TargetLatencyMs: number;
  readonly MaxAttempts: number;
  readonly Priority: number;
  readonly Service?: string;
  readonly TrafficSplit?: readonly { readonly Service: string; readonly Weight: number }[];
  readonly GapAimMs?: number;
  readonly Resumable?: boolean;
  readonly Sticky?: boolean;
  readonly HomeRegions?: readonly string[];
}

export interface ServiceEntry {
  readonly Name: string;
  readonly MaxConnections: number;
  readonly ColdStartS: number;
  readonly ColdPerS: number;
  readonly HealthPath: string;
  /** Figures of engines that cache prompts. */
  readonly Engine?: {
    readonly KvBytes: number;
    readonly LinkMbps: number;
    readonly KvCapacity: number;
  };
}

/** Returns a configuration with the limits of the deployment. */
export function configEntry(
  version: number,
  routes: readonly RouteEntry[],
  services: readonly ServiceEntry[],
): object {
  return {
    Version: version,
    Routes: routes,
    Services: services,
    Limits: {
      MaxHeaderBytes: 16_384,
      MaxBodyBytes: 4_194_304,
      HeaderTimeoutMs: 3_000,
      IdleTimeoutMs: 15_000,
    },
  };
}

/** Returns the entry of an engine that is ready and warm. */
export function engineEntry(
  service: string,
  address: string,
  zone: string,
  slots: number,
  more: object = {},
): object {
  return {
    Service: service,
    Address: address,
    Zone: zone,
    Version: 'v1',
    Slots: slots,
    State: 'ready',
    ColdRemainingMs: 0,
    Seq: 1,
    ...more,
  };
}
