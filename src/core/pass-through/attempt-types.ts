import type { BrittleServers } from '../brittle-servers';
import type { Clock } from '../clock';
import type { ConnectionPool } from '../exchanges';
import type { HoldingRoom } from '../held-bytes';
import type { AbortCause } from '../outcomes';
import type { Reachability } from '../reachability';
import type { ServerLimits } from '../server-limits';
import type { ServerNotices } from '../server-notices';
import type { KnownServer } from '../server-registry';
import type { AttemptResult } from './attempt-result';
import type { Router } from './create-router';
import type { SendableDestination } from './destinations';
import type { StreamProgress } from './stream-progress';
import type { ClientAnswer, HeaderDialect, InboundRequest, RequestPlan } from './types';
import type { WarmCheck } from './warm-check';

/** An attempt in progress. */
export interface Attempt {
  readonly to: SendableDestination;
  readonly sentAtMs: number;
  /** Aborts the attempt; its result is still reported, unless `discard` was called. */
  abort(cause: AbortCause): void;
  /**
   * Aborts the attempt and discards its result, since nothing waits for it any more. Silence counts against its server, any
   * other cause does not.
   */
  discard(cause: AbortCause): void;
  /**
   * Holds the rest of a stream back, unread; returns false if nothing of the stream has been passed on. It may be aborted
   * by `discard` alone then.
   */
  hold(): boolean;
  /** Goes on with a stream that was held. Events that another attempt has passed on meanwhile are left out. */
  release(): void;
  /**
   * Time of the last byte of the answer, or else of the start of the attempt, monotonic ms. While the caller reads too
   * slowly, it is the present time, since nothing is read from the server then.
   */
  lastByteAtMs(): number;
  /** Time of the first byte of a body, monotonic ms; undefined before that. */
  firstByteAtMs(): number | undefined;
  /** Whether something of the answer has arrived that the caller can use. */
  hasProgressed(): boolean;
  /** Time from which the attempt counts as stalled if nothing more arrives that the caller can use, monotonic ms. */
  stalledFromMs(): number;
  /**
   * Number of backend servers that another instance had sent the request to when its answer began,
   * as reported by it.
   */
  serversTriedThere(): number | undefined;
}

/** Options of `startAttempt`. */
export interface AttemptOptions {
  readonly clock: Clock;
  readonly dialect: HeaderDialect;
  readonly pool: ConnectionPool;
  readonly router: Router;
  readonly warmCheck: WarmCheck;
  readonly limits: Pick<ServerLimits, 'observe'>;
  readonly notices: Pick<ServerNotices, 'observe' | 'recordSent'>;
  readonly brittle: Pick<BrittleServers, 'observe'>;
  readonly reachability: Pick<Reachability, 'recordReached' | 'recordFailed'>;
  /** Room of this instance for parts of answers. */
  readonly room: HoldingRoom;
  /** Whether a server that was chosen a moment ago may still get a request. */
  readonly mayReceive: (server: KnownServer) => boolean;
  readonly request: InboundRequest;
  readonly plan: RequestPlan;
  readonly to: SendableDestination;
  /** Maximum number of backend servers that may get the request in this attempt. */
  readonly attemptsReserved: number;
  readonly answer: ClientAnswer;
  readonly progress: StreamProgress;
  /** Called when the head of an answer shows that the request has run. */
  readonly onRan: () => void;
  /** Called before something of the answer is passed on. */
  readonly onPassingOn: () => void;
  /** Called when a server other than `serverId` has answered at its address. */
  readonly onReplaced: (serverId: string) => void;
  readonly onResult: (result: AttemptResult) => void;
}
