import { createCallerLimits } from '../caller-limits';
import type { CallerLimits } from '../caller-limits';
import type { Clock } from '../clock';
import { currentResilience } from '../configuration';
import type { ConfigurationStore } from '../configuration';
import type { DecisionRecorder } from '../decision-trace';
import type { Logger } from '../events';
import type { Gossip } from '../gossip';
import type { DisposableStore } from '../lifetime';
import type { MembershipView } from '../membership';
import { OUTLIER_EVENTS, createOutlierTracker, createRecordedOutlierTracker } from '../outliers';
import type { Ejection, OutlierTracker } from '../outliers';
import { createPoisonGuard, fingerprintKey } from '../poison';
import type { PoisonGuard } from '../poison';
import type { RandomSource } from '../random';

/** What keeps callers, requests and servers that misbehave from harming the others. */
export interface Protections {
  readonly callerLimits: CallerLimits;
  readonly poison: PoisonGuard;
  readonly outliers: OutlierTracker;
}

/** What they are made from. */
export interface ProtectionsNeeds {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly gossip: Gossip;
  readonly configuration: ConfigurationStore;
  readonly membership: MembershipView;
  readonly peerSecret: string;
  readonly record: DecisionRecorder | undefined;
}

function createOutliers({
  clock,
  logger,
  configuration,
  record,
}: ProtectionsNeeds): OutlierTracker {
  const options = () => currentResilience(configuration).outliers;
  const log = ({ serverId, untilMs, ...ejection }: Ejection): void =>
    logger.event(OUTLIER_EVENTS.ejected, {
      server: serverId,
      ...ejection,
      untilUnixMs: clock.unixMs() + untilMs - clock.monotonicMs(),
    });
  return record === undefined
    ? createOutlierTracker(options, log)
    : createRecordedOutlierTracker(options, log, record);
}

/** Creates them; `owned` releases what must be released. */
export function createProtections(needs: ProtectionsNeeds, owned: DisposableStore): Protections {
  const { membership, configuration, peerSecret } = needs;
  return {
    callerLimits: owned.add(
      createCallerLimits({ ...needs, instances: () => membership.usablePeers().length + 1 }),
    ),
    poison: owned.add(
      createPoisonGuard({
        ...needs,
        key: fingerprintKey(peerSecret),
        options: () => currentResilience(configuration).poison,
      }),
    ),
    outliers: createOutliers(needs),
  };
}
