import type { CallerLimits } from '../caller-limits';
import type { Clock } from '../clock';
import type { ConfigurationStore } from '../configuration';
import type { Draining } from '../draining';
import type { Logger } from '../events';
import type { MembershipView } from '../membership';
import type { Metrics } from '../metrics';
import type { Serving } from '../serving';
import type { Settings } from '../settings';
import type { NonRepeatableServer, Tickets } from '../tickets';

/** What the callers' listener needs. */
export interface HttpEdgeOptions {
  readonly host: string;
  readonly port: number;
  readonly region: string;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly configuration: ConfigurationStore;
  readonly membership: MembershipView;
  readonly serving: Serving;
  readonly callerLimits: Pick<CallerLimits, 'requireWithinLimit'>;
  readonly tickets: Tickets;
  readonly serveNonRepeatable: NonRepeatableServer;
  readonly metrics: Metrics;
  readonly draining: Pick<Draining, 'isStopping' | 'recordArrival'>;
  readonly limits: Settings['limits'];
  /** Makes an id that no other request has. */
  readonly newRequestId: () => string;
}

/** The callers' listener. */
export interface HttpEdge extends AsyncDisposable {
  readonly port: number;
  /** Takes no new work, and resolves when what is in flight has ended. */
  drain(): Promise<void>;
}
