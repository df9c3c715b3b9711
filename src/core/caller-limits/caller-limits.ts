import { sleepUntil } from '../clock';
import type { Clock } from '../clock';
import type { Caller, ConfigurationStore } from '../configuration';
import { recordDraws } from '../decision-trace';
import type { DecisionRecorder } from '../decision-trace';
import type { Logger } from '../events';
import type { GossipBoard, GossipEntry } from '../gossip';
import type { RandomSource } from '../random';
import { REFUSALS, RefusalError } from '../refusals';
import { DRAWN_LASTS_MS, announcementSchema, lastsMs } from './announcement';
import type { Announcement } from './announcement';
import { createCallerLimiter } from './caller-limiter';
import type { LimiterResult } from './caller-limiter';
import { CALLER_LIMIT_EVENTS } from './events';
import { createOthersDemand } from './others-demand';

/** The account limits at the edge. */
export interface CallerLimits extends AsyncDisposable {
  /** Returns when the request is inside its caller's limit, and throws a `RefusalError` otherwise. */
  require(caller: Caller, requestId: string): void;
}

/** What the limits need. */
export interface CallerLimitsNeeds {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly gossip: GossipBoard;
  readonly configuration: ConfigurationStore;
  /** Instances of the fleet that live, this one included. */
  readonly instances: () => number;
  /** Takes each decision down, where decisions are recorded. */
  readonly record: DecisionRecorder | undefined;
}

function readPerSecond(payload: string): number | undefined {
  try {
    return announcementSchema.safeParse(JSON.parse(payload)).data?.perSecond;
  } catch {
    return undefined;
  }
}

/** Pause between two looks at callers whose demand has fallen, ms. */
const SWEEP_EVERY_MS = 1_000;

/** Limits that listen to the other instances until they are disposed of. */
export function createCallerLimits(needs: CallerLimitsNeeds): CallerLimits {
  const { clock, logger, gossip, configuration, instances, record } = needs;
  const random = recordDraws(needs.random);
  const others = createOthersDemand();

  const learn = ({ key, origin, payload, expiresAtUnixMs }: GossipEntry): void => {
    const perSecond = readPerSecond(payload);
    if (perSecond === undefined) return;
    const leftMs = Math.min(DRAWN_LASTS_MS, expiresAtUnixMs - clock.unixMs());
    others.note(key, origin, perSecond, clock.monotonicMs() + leftMs);
  };
  const listening = gossip.onEntry('callerShares', learn);

  const limiter = createCallerLimiter({ random, others, instances });
  const stopping = new AbortController();

  /** Tells instances that may see the caller's requests, and no others. */
  const tell = ({ id, regions }: Caller, announcement: Announcement): void =>
    gossip.put({
      topic: 'callerShares',
      key: id,
      regions,
      expiresAtUnixMs: clock.unixMs() + lastsMs(announcement),
      payload: JSON.stringify({ perSecond: Number(announcement.perSecond.toPrecision(2)) }),
    });

  const decide = (caller: Caller, nowMs: number): LimiterResult => {
    const othersPerSecond = others.of(caller.id, nowMs);
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
      for (const { callerId, announcement } of limiter.sweep(clock.monotonicMs())) {
        const caller = configuration.current()?.callerById(callerId);
        if (caller !== undefined) tell(caller, announcement);
      }
      await sleepUntil(clock, clock.monotonicMs() + SWEEP_EVERY_MS, stopping.signal);
    }
  };

  const sweeping = sweep();
  return {
    require(caller, requestId) {
      const nowMs = clock.monotonicMs();
      const { decision, announcement } = decide(caller, nowMs);
      if (announcement !== undefined) tell(caller, announcement);
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
      listening[Symbol.dispose]();
      stopping.abort();
      await sweeping;
    },
  };
}
