import { NO_LEVEL, addLowerBound, addSample, toLevel } from './latency-level';
import type { LatencyLevel } from './latency-level';

/**
 * The two times by which a server is compared with its group: until the head of an answer, and between the
 * parts of an answer. An engine whose accelerator overheats shows it in the second long before the first.
 */
export interface ServerTimes {
  readonly untilHead: LatencyLevel;
  readonly perPart: LatencyLevel;
}

/** State of an attempt while it is open. */
export interface OpenAttempt {
  readonly startedAtMs: number;
  readonly workUnits: number;
  headAtMs: number | undefined;
  parts: number;
}

/** Minimum number of parts for a sample; fewer do not reflect the pace of a server. */
const MIN_PARTS = 8;

/** Times without any samples. */
export const NO_TIMES: ServerTimes = { untilHead: NO_LEVEL, perPart: NO_LEVEL };

/** Records that the head of an answer was received. */
export function recordHead(times: ServerTimes, open: OpenAttempt, nowMs: number): ServerTimes {
  const sample = toLevel(nowMs - open.startedAtMs, open.workUnits);
  return { ...times, untilHead: addSample(times.untilHead, sample) };
}

/** Records that an answer was received completely. */
export function recordEnd(times: ServerTimes, open: OpenAttempt, nowMs: number): ServerTimes {
  if (open.headAtMs === undefined || open.parts < MIN_PARTS) return times;
  const sample = toLevel(nowMs - open.headAtMs, open.parts);
  return { ...times, perPart: addSample(times.perPart, sample) };
}

/** Records an attempt that is open or was abandoned, if it is slow already. */
export function recordUnfinished(
  times: ServerTimes,
  open: OpenAttempt,
  nowMs: number,
): ServerTimes {
  if (open.headAtMs === undefined) {
    const sample = toLevel(nowMs - open.startedAtMs, open.workUnits);
    return { ...times, untilHead: addLowerBound(times.untilHead, sample) };
  }
  if (open.parts < MIN_PARTS) return times;
  const sample = toLevel(nowMs - open.headAtMs, open.parts + 1);
  return { ...times, perPart: addLowerBound(times.perPart, sample) };
}
