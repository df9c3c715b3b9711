import type { Clock } from '../clock';
import type { PoisonOptions } from '../configuration';
import { createCrashCauses, createSuspectParts } from '../crash-causes';
import type { Logger } from '../events';
import type { Gossip } from '../gossip';
import type { DisposableStore } from '../lifetime';
import type { Metrics } from '../metrics';
import { createCrashWatch } from '../pass-through';
import type { CrashInvestigations, CrashWatch } from '../pass-through';
import { createPoisonGuard, fingerprintKey } from '../poison';
import { rankCandidates } from '../rendezvous';
import type { KnownInstances } from './known-instances';
import type { RelaySettings } from './settings';

/** Refuses requests, and parts of prompts, that crash servers. */
export interface CrashProtection {
  readonly watch: CrashWatch;
  /** Processes a message of another instance. Returns whether the text was a valid one. */
  receive(text: string): boolean;
}

/** Options of {@link createCrashProtection}. */
export interface CrashProtectionOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly gossip: Gossip;
  readonly metrics: Metrics;
  readonly settings: () => RelaySettings;
  readonly peerSecret: string;
  readonly instances: Pick<KnownInstances, 'possiblyAliveAnywhere'>;
  readonly sendStatement: (address: string, text: string) => void;
  readonly investigations: Pick<CrashInvestigations, 'begin'>;
  /** Returns a random number from 0 (inclusive) to 1 (exclusive). */
  readonly draw: () => number;
}

/**
 * Limits after which a request that crashes servers is refused. It takes three crashes rather than two, since a whole
 * failure domain may fail: a request that was interrupted there is then retried on a neighbouring server, which fails
 * as well, although the request is not the cause.
 */
const POISON_OPTIONS: PoisonOptions = {
  crashesToRefuse: 3,
  // Same as the default of the configuration: long enough for an operator to investigate, doubled per further crash.
  refuseForMs: 900_000,
  refuseAtMostMs: 86_400_000,
};

/** Creates the protection; `owned` releases what listens to other instances. */
export function createCrashProtection(
  options: CrashProtectionOptions,
  owned: DisposableStore,
): CrashProtection {
  const { clock, logger, gossip, settings, instances, investigations, draw } = options;
  const { instanceId } = settings();
  const regions = () => [...new Set(Object.values(settings().regionOfDomain))];
  const send = (toRegions: readonly string[], text: string): void => {
    for (const peer of instances.possiblyAliveAnywhere()) {
      if (toRegions.includes(peer.region)) options.sendStatement(peer.address, text);
    }
  };
  const guard = owned.add(
    createPoisonGuard({
      clock,
      logger,
      gossip,
      key: fingerprintKey(options.peerSecret),
      options: () => POISON_OPTIONS,
      direct: { instanceId, send },
    }),
  );
  const rankOf = (part: string): number => {
    const others = instances.possiblyAliveAnywhere().map((peer) => peer.instanceId);
    return rankCandidates(part, [instanceId, ...others]).indexOf(instanceId);
  };
  const suspectParts = createSuspectParts(options.peerSecret);
  const causes = owned.add(
    createCrashCauses({
      clock,
      logger,
      gossip,
      instanceId,
      suspectParts,
      isEnabled: () => settings().trafficPolicy.crashingParts,
      regions,
      send,
      rankOf,
      onExplained: guard.excuse,
      draw,
    }),
  );
  options.metrics.gauge(
    'coltsfootworks_crashing_prompt_parts',
    'Parts of prompts for which requests are refused, since servers crash on them',
    causes.count,
  );
  return {
    watch: createCrashWatch({
      clock,
      logger,
      suspectParts,
      guard,
      causes,
      investigations,
      regions,
    }),
    receive: (text) => guard.receive(text) || causes.receive(text),
  };
}
