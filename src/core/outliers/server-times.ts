import { NO_LEVEL, addLowerBound, addSample, toLevel } from './latency-level';
import type { LatencyLevel } from './latency-level';

/**
 * The two times by which a server is compared with its kind: until the head of an answer, and between the
 * parts of one. An engine whose accelerator runs hot shows it in the second long before the first.
 */
export interface ServerTimes {
  readonly untilHead: LatencyLevel;
  readonly perPart: LatencyLevel;
}

/** What is known of a try while it is open. */
export interface OpenTry {
  readonly startedAtMs: number;
  readonly workUnits: number;
  headAtMs: number | undefined;
  parts: number;
}

/** Answers in fewer parts say nothing about the pace of a server. */
const LEAST_PARTS = 8;

/** Before any sample. */
export const NO_TIMES: ServerTimes = { untilHead: NO_LEVEL, perPart: NO_LEVEL };

/** Takes in that the head of a try has come. */
export function addHead(times: ServerTimes, open: OpenTry, nowMs: number): ServerTimes {
  const sample = toLevel(nowMs - open.startedAtMs, open.workUnits);
  return { ...times, untilHead: addSample(times.untilHead, sample) };
}

/** Takes in that the answer of a try is whole. */
export function addEnd(times: ServerTimes, open: OpenTry, nowMs: number): ServerTimes {
  if (open.headAtMs === undefined || open.parts < LEAST_PARTS) return times;
  const sample = toLevel(nowMs - open.headAtMs, open.parts);
  return { ...times, perPart: addSample(times.perPart, sample) };
}

/** Takes in a try that is open or was given up, as far as it is slow already. */
export function addUnfinished(times: ServerTimes, open: OpenTry, nowMs: number): ServerTimes {
  if (open.headAtMs === undefined) {
    const sample = toLevel(nowMs - open.startedAtMs, open.workUnits);
    return { ...times, untilHead: addLowerBound(times.untilHead, sample) };
  }
  if (open.parts < LEAST_PARTS) return times;
  const sample = toLevel(nowMs - open.headAtMs, open.parts + 1);
  return { ...times, perPart: addLowerBound(times.perPart, sample) };
}
