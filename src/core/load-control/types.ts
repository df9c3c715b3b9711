import type { GatewayRequest, ResponseSink } from '../serving/types';
import type { HomeOutlook } from '../spillover';

/** The turn of a request at a server. Disposing of it frees the capacity for others. */
export interface Slot extends Disposable {
  readonly serverId: string;
  readonly address: string;
  /** Servers that were close alternatives. */
  readonly runnersUp: readonly string[];
  /** Why this server was chosen. */
  readonly reason: string;
  readonly waitedMs: number;
  /** Wraps the sink of an answer to record its first byte, size and load report. */
  observe(sink: ResponseSink): ResponseSink;
  /** Marks the answer as complete. */
  answered(): void;
}

/** Returns whether a server may receive a request. */
export type MayUse = (serverId: string) => boolean;

/** Admission, queueing and routing of all services at this instance. */
export interface LoadControl extends Disposable {
  /** Returns whether any server of the region may receive the request at all. */
  canServe(request: GatewayRequest, mayUse: MayUse): boolean;
  /** Predicts the wait and load for the request here, for comparison with another region. */
  outlook(request: GatewayRequest, mayUse: MayUse): HomeOutlook;
  /** Waits for a turn. Rejects with a `RefusalError` at once if the turn would come too late. */
  acquire(request: GatewayRequest, mayUse: MayUse, signal: AbortSignal): Promise<Slot>;
}
