import type { InFlight, ServerSender } from '../backends';
import type { Clock } from '../clock';
import type { ConfigurationStore } from '../configuration';
import type { DecisionRecorder } from '../decision-trace';
import type { Logger } from '../events';
import type { Gossip } from '../gossip';
import type { LoadControl } from '../load-control';
import type { MembershipView } from '../membership';
import type { OutlierTracker } from '../outliers';
import type { PeerForwarder } from '../peers';
import type { PoisonGuard } from '../poison';
import type { RandomSource } from '../random';
import type { ServerAvailability } from '../server-health';
import type { Spillover } from '../spillover';

/** What serving needs from the rest of the instance. */
export interface ServingDependencies {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly instanceId: string;
  readonly region: string;
  readonly failureDomain: string;
  readonly configuration: ConfigurationStore;
  readonly membership: MembershipView;
  readonly gossip: Gossip;
  readonly availability: ServerAvailability;
  /** Takes decisions down, where they are recorded. */
  readonly record?: DecisionRecorder | undefined;
  readonly poison: PoisonGuard;
  readonly outliers: OutlierTracker;
  readonly loadControl: LoadControl;
  readonly spillover: Spillover;
  readonly inFlight: InFlight;
  readonly sender: Pick<ServerSender, 'send'>;
  readonly forwarder: PeerForwarder;
}
