import type { OutlierOptions } from '../configuration';
import type { RandomSource } from '../random';
import {
  NEVER_EJECTED,
  nextEjection,
  pauseUnreachable,
  shareAt,
  ejectionStateAt,
} from './ejection-schedule';
import type { EjectionSchedule } from './ejection-schedule';
import { medianLevel } from './latency-level';
import { NO_TIMES, addEnd, addHead, addUnfinished } from './server-times';
import type { OpenTry, ServerTimes } from './server-times';
import type { Ejection, EjectionReason, ObservedServer, ObservedTry, EjectionState } from './types';

/**
 * Answers one bad server among good ones: it fails, or takes many times as long, and still gets its share of
 * requests - or more than its share, since a server that fails at once never looks busy. Without this the
 * tail of all callers is that server's; one notices a p99 of a service that one server alone explains.
 *
 * - `failuresInARow` (5): a server that fails half of the time gets there within about 60 requests, while one
 *   that fails 1 in 100 practically never does.
 * - `slowFactor` (3): servers with equal work differ by less than 2 through chance and caches; below 3, a
 *   server with a cold cache would be ejected just when it should warm up.
 * - `mostEjectedShare` (0.5): where more than half look bad the fault is common to them, and ejecting would
 *   put the whole load on the rest.
 * - A server that refuses connections is left out for 2 s at a time and does not count against that share: it
 *   has no capacity to lose. Counted and kept out like the others, servers that were up again held the places
 *   of servers that were down. At least one server always stays.
 */
export interface OutlierTracker {
  /** Notes a try that begins now. `workUnits` scales its time, 1 for work of the usual size. */
  begin(server: ObservedServer, workUnits: number, nowMs: number): ObservedTry;
  /** Whether a request may go to the server; drawn by chance for one that is returning. */
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
  readonly open: Set<OpenTry>;
}

interface Group {
  readonly serverIds: Set<string>;
  nextLookAtMs: number;
}

/** Pause between two comparisons of a group, so that their cost does not grow with traffic. */
const LOOK_EVERY_MS = 200;
/** Samples before a server is judged by its times. */
const LEAST_SAMPLES = 8;
/** The same for one that is returning: it is under suspicion already. */
const LEAST_SAMPLES_RETURNING = 2;
/** Failures in a row that eject a returning server. */
const RETURNING_FAILURES = 2;
/** Refused connections in a row that eject a server: nothing listens there, which chance does not explain. */
const UNREACHABLE_IN_A_ROW = 2;
/** A server without any try for so long has left the group, ms. */
const FORGET_SERVER_MS = 900_000;

/** A tracker without any server. `onEjection` is told of each ejection, for the log. */
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

  const groupNamed = (name: string, nowMs: number): Group => {
    const group = groups.get(name) ?? { serverIds: new Set(), nextLookAtMs: nowMs };
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
    const bad = ejected.filter((id) => recordOf(id).ejectedFor !== 'unreachable').length;
    return bad + 1 <= Math.floor(serverIds.size * options().mostEjectedShare);
  };

  const eject = (name: string, serverId: string, reason: EjectionReason, nowMs: number): void => {
    if (ejectionStateOf(serverId, nowMs) === 'ejected') return;
    if (!mayEjectOneMore(groupNamed(name, nowMs), reason, nowMs)) return;
    const { schedule: previous } = recordOf(serverId);
    const schedule =
      reason === 'unreachable'
        ? pauseUnreachable(previous, nowMs)
        : nextEjection(previous, nowMs, options());
    // What it did so far must not decide about its return.
    update(serverId, {
      schedule,
      ejectedFor: reason,
      failuresInARow: 0,
      unreachableInARow: 0,
      times: NO_TIMES,
    });
    onEjection({ serverId, group: name, reason, ...schedule });
  };

  /** Its times with its open tries; those from before an ejection say nothing about the return. */
  const timesNow = (serverId: string, nowMs: number): ServerTimes => {
    const { times, open, schedule } = recordOf(serverId);
    return [...open]
      .filter(({ startedAtMs }) => startedAtMs >= schedule.untilMs)
      .reduce((current, one) => addUnfinished(current, one, nowMs), times);
  };

  const isSlowBy = (
    kind: keyof ServerTimes,
    { serverIds }: Group,
    serverId: string,
    nowMs: number,
  ): boolean => {
    const level = timesNow(serverId, nowMs)[kind];
    const isReturning = ejectionStateOf(serverId, nowMs) === 'returning';
    if (level.samples < (isReturning ? LEAST_SAMPLES_RETURNING : LEAST_SAMPLES)) return false;
    const others = [...serverIds]
      .filter((other) => other !== serverId)
      .map((other) => recordOf(other).times[kind])
      .filter(({ samples }) => samples >= LEAST_SAMPLES);
    const usual = medianLevel(others);
    return usual !== undefined && level.level > usual + Math.log(options().slowFactor);
  };

  const isSlow = (group: Group, serverId: string, nowMs: number): boolean =>
    isSlowBy('untilHead', group, serverId, nowMs) || isSlowBy('perPart', group, serverId, nowMs);

  const look = (name: string, nowMs: number): void => {
    const group = groupNamed(name, nowMs);
    if (nowMs < group.nextLookAtMs) return;
    group.nextLookAtMs = nowMs + LOOK_EVERY_MS;
    for (const serverId of [...group.serverIds]) {
      if (nowMs - recordOf(serverId).lastUsedAtMs > FORGET_SERVER_MS) {
        group.serverIds.delete(serverId);
        records.delete(serverId);
      } else if (isSlow(group, serverId, nowMs)) {
        eject(name, serverId, 'slow', nowMs);
      }
    }
  };

  const noteUnreachable = (name: string, serverId: string, nowMs: number): void => {
    const unreachableInARow = recordOf(serverId).unreachableInARow + 1;
    update(serverId, { unreachableInARow });
    const isReturning = ejectionStateOf(serverId, nowMs) === 'returning';
    const limit = isReturning ? 1 : UNREACHABLE_IN_A_ROW;
    if (unreachableInARow >= limit) eject(name, serverId, 'unreachable', nowMs);
  };

  const noteFailure = (name: string, serverId: string, nowMs: number): void => {
    const failuresInARow = recordOf(serverId).failuresInARow + 1;
    update(serverId, { failuresInARow });
    const isReturning = ejectionStateOf(serverId, nowMs) === 'returning';
    const limit = isReturning ? RETURNING_FAILURES : options().failuresInARow;
    if (failuresInARow >= limit) eject(name, serverId, 'failures', nowMs);
  };

  return {
    begin({ serverId, group }, workUnits, nowMs) {
      groupNamed(group, nowMs).serverIds.add(serverId);
      const open: OpenTry = { startedAtMs: nowMs, workUnits, headAtMs: undefined, parts: 0 };
      const { open: allOpen } = update(serverId, { lastUsedAtMs: nowMs });
      allOpen.add(open);
      look(group, nowMs);
      /** Tries from before an ejection must not count against the return. */
      const isOfNow = () => open.startedAtMs >= recordOf(serverId).schedule.untilMs;
      const addTimes = (add: typeof addHead, atMs: number) =>
        update(serverId, { times: add(recordOf(serverId).times, open, atMs) });
      return {
        headReceived(atMs, isFailure) {
          open.headAtMs = atMs;
          if (!isOfNow()) return;
          if (isFailure) {
            noteFailure(group, serverId, atMs);
            return;
          }
          update(serverId, { failuresInARow: 0, unreachableInARow: 0 });
          addTimes(addHead, atMs);
          look(group, atMs);
        },
        partsReceived(count) {
          open.parts += count;
        },
        ended(atMs) {
          if (allOpen.delete(open) && isOfNow()) addTimes(addEnd, atMs);
        },
        failed(atMs, failure) {
          if (!allOpen.delete(open) || !isOfNow()) return;
          if (failure === 'unreachable') noteUnreachable(group, serverId, atMs);
          else noteFailure(group, serverId, atMs);
        },
        abandoned(atMs) {
          if (allOpen.delete(open) && isOfNow()) addTimes(addUnfinished, atMs);
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
