import type { BrittleServers } from '../brittle-servers';
import type { Clock } from '../clock';
import type { Logger } from '../events';
import type { ConnectionPool } from '../exchanges';
import type { BodyRoom, HoldingRoom } from '../held-bytes';
import type { EndlessBytes } from '../outcomes';
import type { Reachability } from '../reachability';
import type { ServerLimits } from '../server-limits';
import type { ServerNotices } from '../server-notices';
import type { KnownServer } from '../server-registry';
import type { RetryAllowance } from '../shared-budget';
import type { StreamVersions } from '../stream-versions';
import type { CrashWatch } from './crash-watch';
import type { Router } from './create-router';
import type { Hedges } from './hedge-silence';
import type { ServedRequest } from './request-end';
import type { ReserveSlots } from './reserve-attempt';
import type { HeaderDialect, RefusalReason } from './types';
import type { UnansweredCause } from './unanswered-requests';
import type { WarmCheck } from './warm-check';

/** Dependencies of `serveRequest`. */
export interface ServeDependencies {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly dialect: HeaderDialect;
  readonly pool: ConnectionPool;
  readonly router: Router;
  readonly warmCheck: WarmCheck;
  readonly crashWatch: CrashWatch;
  readonly retries: RetryAllowance;
  /** Attempts beside silent ones. */
  readonly hedges: Hedges;
  /** Attempts of streams that are kept while another one goes on. */
  readonly reserveSlots: ReserveSlots;
  /** Limits that backend servers name in their answers. */
  readonly limits: ServerLimits;
  /** What backend servers state in their answers about the requests after them. */
  readonly notices: ServerNotices;
  /** Servers that fail if they have to reject many requests. */
  readonly brittle: BrittleServers;
  /** Which servers this instance reaches. */
  readonly reachability: Reachability;
  /** Room of this instance for the bodies of requests. */
  readonly bodies: Pick<BodyRoom, 'reserve'>;
  /** Room of this instance for parts of answers. */
  readonly room: HoldingRoom;
  /** Software versions that began the streams of callers. */
  readonly streamVersions: Pick<StreamVersions, 'find' | 'recordBegun'>;
  /** Whether a server that was chosen a moment ago may still get a request. */
  readonly mayReceive: (server: KnownServer) => boolean;
  /** Called when a server other than `serverId` has answered at its address. */
  readonly onReplaced: (serverId: string) => void;
  /** Called when the bytes of an answer had no end. */
  readonly onEndless: (found: EndlessBytes) => void;
  readonly onDone: (done: ServedRequest) => void;
  /** Called when a request was refused before any work was done for it. */
  readonly onRefused: (reason: RefusalReason, service: string) => void;
  /** Called when a request that was read whole ended without a complete answer or a refusal. */
  readonly onUnanswered: (cause: UnansweredCause) => void;
}
