import type { GatewayRequest, ResponseSink } from '../serving/types';
import type { HomeOutlook } from '../spillover';

/** A request's turn at a server; disposing of it gives the place free. */
export interface Slot extends Disposable {
  readonly serverId: string;
  readonly address: string;
  /** Servers that were near, and why this one was chosen. */
  readonly runnersUp: readonly string[];
  readonly reason: string;
  readonly waitedMs: number;
  /** Passes an answer on and learns from it: first byte, size, load report. */
  observe(sink: ResponseSink): ResponseSink;
  /** The answer was whole. */
  answered(): void;
}

/** Whether a server may have a request. */
export type MayUse = (serverId: string) => boolean;

/** Admission, queues and routing of all services at this instance. */
export interface LoadControl extends Disposable {
  /** Whether some server of the region may have the request at all. */
  canServe(request: GatewayRequest, mayUse: MayUse): boolean;
  /** How the request would fare here; for whoever weighs another region. */
  outlook(request: GatewayRequest, mayUse: MayUse): HomeOutlook;
  /** Waits for a turn; throws a `RefusalError` at once where it would come too late. */
  acquire(request: GatewayRequest, mayUse: MayUse, signal: AbortSignal): Promise<Slot>;
}
