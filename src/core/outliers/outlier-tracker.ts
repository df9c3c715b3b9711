import type { OutlierOptions } from '../configuration';
import type { RandomSource } from '../random';
import {
  NEVER_EJECTED,
  nextEjection,
  ejectUnreachable,
  shareAt,
  ejectionStateAt,
} from './ejection-schedule';
import type { EjectionSchedule } from './ejection-schedule';
import { medianLevel } from './latency-level';
import { NO_TIMES, recordEnd, recordHead, recordUnfinished } from './server-times';
import type { OpenAttempt, ServerTimes } from './server-times';
import type {
  Ejection,
  EjectionReason,
  ObservedServer,
  ObservedAttempt,
  EjectionState,
} from './types';

/**
 * Detects a bad server among good ones and ejects it. Such a server fails, or takes many times as long, and
 * still gets its share of requests, or more than that, since a server that fails at once never looks busy.
 * Without ejection it determines the tail latency of all callers; the symptom is a p99 of a service that one
 * server alone causes.
 *
 * - `failuresInARow` (5): a server that fails half of the time reaches this within about 60 requests, while
 *   one that fails 1 in 100 practically never does.
 * - `slowFactor` (3): servers with equal work differ by less than 2 because of chance and caches; below 3, a
 *   server with a cold cache would be ejected just when it should warm up.
 * - `mostEjectedShare` (0.5): if more than half look bad, they have a common fault, and ejecting them would
 *   put the whole load on the rest.
 * - A server that refuses connections is ejected for 2 s at a time and does not count towards that share,
 *   since it has no capacity to lose. When such servers were counted and kept ejected like the others,
 *   servers that were up again used up the share, so that servers that were down could not be ejected. At
 *   least one server always remains.
 */
export interface OutlierTracker {
  /** Records the start of an attempt. `workUnits` scales its time, 1 for work of the usual size. */
  begin(server: ObservedServer, workUnits: number, nowMs: number): ObservedAttempt;
  /** Returns whether a request may go to the server; random for a server that is returning. */
  mayUse(serverId: string, nowMs: number, random: RandomSource): boolean;
  ejectionState(serverId: string, nowMs: number): EjectionState;
}

interface ServerRecord {
  readonly serverId: string;
  readonly failuresInARow: number;
  readonly times: ServerTimes;
  readonly unreachableInARow: number;
  readonly schedule: EjectionSchedule;
  readonly ejectedFor: EjectionReason | undefined;
  readonly lastUsedAtMs: number;
  readonly open: Set<OpenAttempt>;
}

interface Group {
  readonly serverIds: Set<string>;
  nextComparisonAtMs: number;
}

/** Minimum interval between two comparisons of a group, ms, so that their cost does not grow with traffic. */
const COMPARISON_INTERVAL_MS = 200;
/** Minimum number of samples before a server is evaluated by its times. */
const MIN_SAMPLES = 8;
/** The same for a returning server, which has already been found bad once. */
const MIN_SAMPLES_RETURNING = 2;
/** Consecutive failures that eject a returning server. */
const FAILURES_TO_EJECT_RETURNING = 2;
/**
 * Consecutive refused connections that eject a server: nothing listens there, which chance does not explain.
 */
const UNREACHABLE_TO_EJECT = 2;
/** Time without attempts after which a server is considered removed from its group, ms. */
const SERVER_IDLE_TTL_MS = 900_000;

/**
 * Creates a tracker without any servers. `onEjection` is called for each ejection, so that it can be logged.
 */
export function createOutlierTracker(
  options: () => OutlierOptions,
  onEjection: (ejection: Ejection) => void,
): OutlierTracker {
  const groups = new Map<string, Group>();
  const records = new Map<string, ServerRecord>();

  const recordOf = (serverId: string): ServerRecord =>
    records.get(serverId) ?? {
      serverId,
      failuresInARow: 0,
      times: NO_TIMES,
      unreachableInARow: 0,
      schedule: NEVER_EJECTED,
      ejectedFor: undefined,
      lastUsedAtMs: -Infinity,
      open: new Set(),
    };

  const update = (serverId: string, change: Partial<ServerRecord>): ServerRecord => {
    const record = { ...recordOf(serverId), ...change };
    records.set(serverId, record);
    return record;
  };

  const getOrCreateGroup = (name: string, nowMs: number): Group => {
    const group = groups.get(name) ?? { serverIds: new Set(), nextComparisonAtMs: nowMs };
    groups.set(name, group);
    return group;
  };

  const ejectionStateOf = (serverId: string, nowMs: number): EjectionState =>
    ejectionStateAt(recordOf(serverId).schedule, nowMs, options());

  const mayEjectOneMore = (
    { serverIds }: Group,
    reason: EjectionReason,
    nowMs: number,
  ): boolean => {
    const ejected = [...serverIds].filter((id) => ejectionStateOf(id, nowMs) === 'ejected');
    if (ejected.length + 1 >= serverIds.size) return false;
    if (reason === 'unreachable') return true;
    const countedEjections = ejected.filter(
      (id) => recordOf(id).ejectedFor !== 'unreachable',
    ).length;
    return countedEjections + 1 <= Math.floor(serverIds.size * options().mostEjectedShare);
  };

  const eject = (name: string, serverId: string, reason: EjectionReason, nowMs: number): void => {
    if (ejectionStateOf(serverId, nowMs) === 'ejected') return;
    if (!mayEjectOneMore(getOrCreateGroup(name, nowMs), reason, nowMs)) return;
    const { schedule: previous } = recordOf(serverId);
    const schedule =
      reason === 'unreachable'
        ? ejectUnreachable(previous, nowMs)
        : nextEjection(previous, nowMs, options());
    // The record from before the ejection must not affect the return.
    update(serverId, {
      schedule,
      ejectedFor: reason,
      failuresInARow: 0,
      unreachableInARow: 0,
      times: NO_TIMES,
    });
    onEjection({ serverId, group: name, reason, ...schedule });
  };

  /**
   * Returns the times of a server including its open attempts; those started before the last ejection ended
   * are ignored, since they do not reflect its state after the return.
   */
  const timesIncludingOpen = (serverId: string, nowMs: number): ServerTimes => {
    const { times, open, schedule } = recordOf(serverId);
    return [...open]
      .filter(({ startedAtMs }) => startedAtMs >= schedule.untilMs)
      .reduce((current, one) => recordUnfinished(current, one, nowMs), times);
  };

  const isSlowBy = (
    kind: keyof ServerTimes,
    { serverIds }: Group,
    serverId: string,
    nowMs: number,
  ): boolean => {
    const level = timesIncludingOpen(serverId, nowMs)[kind];
    const isReturning = ejectionStateOf(serverId, nowMs) === 'returning';
    if (level.samples < (isReturning ? MIN_SAMPLES_RETURNING : MIN_SAMPLES)) return false;
    const others = [...serverIds]
      .filter((other) => other !== serverId)
      .map((other) => recordOf(other).times[kind])
      .filter(({ samples }) => samples >= MIN_SAMPLES);
    const median = medianLevel(others);
    return median !== undefined && level.level > median + Math.log(options().slowFactor);
  };

  const isSlow = (group: Group, serverId: string, nowMs: number): boolean =>
    isSlowBy('untilHead', group, serverId, nowMs) || isSlowBy('perPart', group, serverId, nowMs);

  const ejectSlowServers = (name: string, nowMs: number): void => {
    const group = getOrCreateGroup(name, nowMs);
    if (nowMs < group.nextComparisonAtMs) return;
    group.nextComparisonAtMs = nowMs + COMPARISON_INTERVAL_MS;
    for (const serverId of [...group.serverIds]) {
      if (nowMs - recordOf(serverId).lastUsedAtMs > SERVER_IDLE_TTL_MS) {
        group.serverIds.delete(serverId);
        records.delete(serverId);
      } else if (isSlow(group, serverId, nowMs)) {
        eject(name, serverId, 'slow', nowMs);
      }
    }
  };

  const recordUnreachable = (name: string, serverId: string, nowMs: number): void => {
    const unreachableInARow = recordOf(serverId).unreachableInARow + 1;
    update(serverId, { unreachableInARow });
    const isReturning = ejectionStateOf(serverId, nowMs) === 'returning';
    const limit = isReturning ? 1 : UNREACHABLE_TO_EJECT;
    if (unreachableInARow >= limit) eject(name, serverId, 'unreachable', nowMs);
  };

  const recordFailure = (name: string, serverId: string, nowMs: number): void => {
    const failuresInARow = recordOf(serverId).failuresInARow + 1;
    update(serverId, { failuresInARow });
    const isReturning = ejectionStateOf(serverId, nowMs) === 'returning';
    const limit = isReturning ? FAILURES_TO_EJECT_RETURNING : options().failuresInARow;
    if (failuresInARow >= limit) eject(name, serverId, 'failures', nowMs);
  };

  return {
    begin({ serverId, group }, workUnits, nowMs) {
      getOrCreateGroup(group, nowMs).serverIds.add(serverId);
      const open: OpenAttempt = { startedAtMs: nowMs, workUnits, headAtMs: undefined, parts: 0 };
      const { open: allOpen } = update(serverId, { lastUsedAtMs: nowMs });
      allOpen.add(open);
      ejectSlowServers(group, nowMs);
      /**
       * Returns whether the attempt started after the last ejection ended; earlier attempts must not affect the
       * return.
       */
      const startedAfterEjection = () => open.startedAtMs >= recordOf(serverId).schedule.untilMs;
      const addTimes = (add: typeof recordHead, atMs: number) =>
        update(serverId, { times: add(recordOf(serverId).times, open, atMs) });
      return {
        headReceived(atMs, isFailure) {
          open.headAtMs = atMs;
          if (!startedAfterEjection()) return;
          if (isFailure) {
            recordFailure(group, serverId, atMs);
            return;
          }
          update(serverId, { failuresInARow: 0, unreachableInARow: 0 });
          addTimes(recordHead, atMs);
          ejectSlowServers(group, atMs);
        },
        partsReceived(count) {
          open.parts += count;
        },
        ended(atMs) {
          if (allOpen.delete(open) && startedAfterEjection()) addTimes(recordEnd, atMs);
        },
        failed(atMs, failure) {
          if (!allOpen.delete(open) || !startedAfterEjection()) return;
          if (failure === 'unreachable') recordUnreachable(group, serverId, atMs);
          else recordFailure(group, serverId, atMs);
        },
        abandoned(atMs) {
          if (allOpen.delete(open) && startedAfterEjection()) addTimes(recordUnfinished, atMs);
        },
      };
    },
    mayUse(serverId, nowMs, random) {
      const share = shareAt(recordOf(serverId).schedule, nowMs, options());
      return share === 1 || random.next() < share;
    },
    ejectionState: ejectionStateOf,
  };
}
