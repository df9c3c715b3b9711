import { sleepUntil } from '../clock';
import type { Clock } from '../clock';
import type { Caller, ConfigurationStore } from '../configuration';
import { recordDraws } from '../decision-trace';
import type { DecisionRecorder } from '../decision-trace';
import type { Logger } from '../events';
import type { Gossip, GossipEntry } from '../gossip';
import { parseJsonText } from '../json-text';
import type { RandomSource } from '../random';
import { REFUSALS, RefusalError } from '../refusals';
import { SAMPLED_TTL_MS, announcementSchema, announcementTtlMs } from './announcement';
import type { Announcement } from './announcement';
import { createCallerLimiter } from './caller-limiter';
import type { LimiterResult } from './caller-limiter';
import { CALLER_LIMIT_EVENTS } from './events';
import { createOthersDemand } from './others-demand';

/** Enforces the account limits on requests from callers. */
export interface CallerLimits extends AsyncDisposable {
  /** Returns if the request is within the limit of its caller, and throws a `RefusalError` otherwise. */
  requireWithinLimit(caller: Caller, requestId: string): void;
}

/** Options of the caller limits. */
export interface CallerLimitsOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly gossip: Gossip;
  readonly configuration: ConfigurationStore;
  /** Returns the number of live instances, including this one. */
  readonly instances: () => number;
  /** Records each decision; undefined when decisions are not recorded. */
  readonly record: DecisionRecorder | undefined;
}

function readPerSecond(payload: string): number | undefined {
  return parseJsonText(announcementSchema, payload)?.perSecond;
}

/** Interval between checks for callers whose demand has fallen, ms. */
const SWEEP_INTERVAL_MS = 1_000;

/** Creates caller limits that receive the announcements of other instances until they are disposed of. */
export function createCallerLimits(options: CallerLimitsOptions): CallerLimits {
  const { clock, logger, gossip, configuration, instances, record } = options;
  const random = recordDraws(options.random);
  const others = createOthersDemand();

  const onAnnouncement = ({ key, origin, payload, expiresAtUnixMs }: GossipEntry): void => {
    const perSecond = readPerSecond(payload);
    if (perSecond === undefined) return;
    const remainingMs = Math.min(SAMPLED_TTL_MS, expiresAtUnixMs - clock.unixMs());
    others.record(key, origin, perSecond, clock.monotonicMs() + remainingMs);
  };
  const subscription = gossip.onEntry('callerShares', onAnnouncement);

  const limiter = createCallerLimiter({ random, others, instances });
  const stopping = new AbortController();

  /** Sends an announcement only to regions that may receive the caller's requests. */
  const announce = ({ id, regions }: Caller, announcement: Announcement): void =>
    gossip.put({
      topic: 'callerShares',
      key: id,
      regions,
      expiresAtUnixMs: clock.unixMs() + announcementTtlMs(announcement),
      payload: JSON.stringify({ perSecond: Number(announcement.perSecond.toPrecision(2)) }),
    });

  const decide = (caller: Caller, nowMs: number): LimiterResult => {
    const othersPerSecond = others.demandOf(caller.id, nowMs);
    const result = limiter.decide(caller.id, caller.limits, nowMs);
    const draws = random.takeDraws();
    const toldPerSecond = result.announcement?.perSecond;
    record?.({
      kind: 'callerLimit',
      atMs: nowMs,
      callerId: caller.id,
      limit: caller.limits,
      instances: instances(),
      othersPerSecond,
      draws,
      outcome: {
        decision: result.decision,
        ...(toldPerSecond === undefined ? {} : { toldPerSecond }),
      },
    });
    return result;
  };

  const sweep = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      for (const { callerId, announcement } of limiter.takeFallenDemand(clock.monotonicMs())) {
        const caller = configuration.current()?.callerById(callerId);
        if (caller !== undefined) announce(caller, announcement);
      }
      await sleepUntil(clock, clock.monotonicMs() + SWEEP_INTERVAL_MS, stopping.signal);
    }
  };

  const sweeping = sweep();
  return {
    requireWithinLimit(caller, requestId) {
      const nowMs = clock.monotonicMs();
      const { decision, announcement } = decide(caller, nowMs);
      if (announcement !== undefined) announce(caller, announcement);
      if (decision.kind === 'admit') return;
      const { retryAtMs, ratePerSecond } = decision;
      logger.event(CALLER_LIMIT_EVENTS.refused, { requestId, caller: caller.id, ratePerSecond });
      throw new RefusalError(REFUSALS.rateLimited, {
        detail: `The account may send ${caller.limits.requestsPerSecond} requests a second.`,
        step: 'check-caller-limit',
        evidence: { kind: 'neverSent' },
        retryAtUnixMs: clock.unixMs() + retryAtMs - nowMs,
      });
    },
    async [Symbol.asyncDispose]() {
      subscription[Symbol.dispose]();
      stopping.abort();
      await sweeping;
    },
  };
}
