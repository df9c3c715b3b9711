/**
 * Weighs whether a part of prompts is the cause of crashes.
 *
 * A part that is the cause is among the requests of many crashes, and no answer on it is ever completed. A part that merely
 * stood beside the cause is there by chance: at most crashes, if most requests hold it, and at hardly any, if few do. So a
 * part is the cause if it was at more of the crashes than its share of the requests explains.
 */

/** What one crash says about one part. */
export interface CrashOfPart {
  readonly failureDomain: string;
  readonly atMs: number;
  /** Whether a request with the part was there that the server had hardly begun to answer. */
  readonly isHeld: boolean;
  /** Time at which the latest request with the part was sent there, monotonic ms; undefined if unknown. */
  readonly sentAtMs?: number | undefined;
  /** Requests there that the server had hardly begun to answer. */
  readonly requests: number;
  /** Whether another part that is known to be a cause was there too. */
  readonly isExplained: boolean;
}

/** All that is known about a part since an answer on it was last completed. */
export interface PartEvidence {
  /** Crashes of servers of the service since the first one with the part, in order of time. */
  readonly crashes: readonly CrashOfPart[];
  /** Share of requests that hold the part, from 0 to 1, by what this and other instances know. */
  readonly share: number;
  /** Share of the requests of this instance that hold the part, from 0 to 1. */
  readonly ownShare: number;
  /** Requests that this instance has had answered since the first of the crashes. */
  readonly answeredSince: number;
}

/** Crashes with a part without which it does not count as their cause. */
const MIN_CRASHES = 3;
/** Crashes among them that no other cause explains. */
const MIN_UNEXPLAINED_CRASHES = 2;
/** Crashes from which on it counts that other requests are answered and those with the part are not. */
const MIN_CRASHES_FOR_ABSENCE = 5;
/** Other answers without which it says nothing that those with a part are missing. */
const MIN_ANSWERS = 5;
/** Share of requests above which a part is taken for no more common, since few requests are without it. */
const MAX_SHARE_FOR_ABSENCE = 0.9;
/** Weight of a crash that another cause explains. */
const EXPLAINED_WEIGHT = 0.5;
/** Servers of one failure domain that crash within this time may have one cause, such as a loss of power, ms. */
const SAME_CAUSE_MS = 100;
/** Bounds of probabilities, so that none becomes 0 or 1. */
const MIN_CHANCE = 0.001;
const MAX_CHANCE = 0.98;

function bounded(chance: number): number {
  return Math.min(MAX_CHANCE, Math.max(MIN_CHANCE, chance));
}

/**
 * Joins crashes of one failure domain that follow one another at once, unless a request with the part was sent to the later
 * server after the earlier one had crashed: then they had no common cause but the part.
 */
export function joinCrashes(crashes: readonly CrashOfPart[]): readonly CrashOfPart[] {
  const joined: CrashOfPart[] = [];
  const indexByDomain = new Map<string, number>();
  for (const crash of crashes) {
    const index = indexByDomain.get(crash.failureDomain) ?? -1;
    const last = joined[index];
    const wasSentAfter = last !== undefined && (crash.sentAtMs ?? -Infinity) > last.atMs;
    if (last !== undefined && !wasSentAfter && crash.atMs - last.atMs <= SAME_CAUSE_MS) {
      joined[index] = {
        ...last,
        isHeld: last.isHeld || crash.isHeld,
        requests: last.requests + crash.requests,
        isExplained: last.isExplained || crash.isExplained,
      };
    } else {
      indexByDomain.set(crash.failureDomain, joined.length);
      joined.push(crash);
    }
  }
  return joined;
}

const weightOf = ({ isExplained }: CrashOfPart) => (isExplained ? EXPLAINED_WEIGHT : 1);

/** Returns the probability that a crash finds the part there by chance. */
function chanceOf({ requests }: CrashOfPart, share: number): number {
  return bounded(1 - (1 - share) ** Math.max(1, requests));
}

function sum(numbers: readonly number[]): number {
  return numbers.reduce((total, number) => total + number, 0);
}

/**
 * Returns the logarithm of the odds of finding the part at so many of the crashes against finding it there by chance; 0 if
 * chance explains it.
 */
function evidenceOfCrashes(crashes: readonly CrashOfPart[], share: number): number {
  const all = sum(crashes.map(weightOf));
  const held = sum(crashes.filter(({ isHeld }) => isHeld).map(weightOf));
  const heldByChance = sum(crashes.map((crash) => weightOf(crash) * chanceOf(crash, share)));
  if (held <= heldByChance) return 0;
  const others = all - held;
  const ofOthers = others === 0 ? 0 : others * Math.log(others / (all - heldByChance));
  return held * Math.log(held / heldByChance) + ofOthers;
}

/** Returns how many answers on the part were to be expected among those that came, none of which was on the part. */
function missingAnswers(heldCrashes: number, { ownShare, answeredSince }: PartEvidence): number {
  if (heldCrashes < MIN_CRASHES_FOR_ABSENCE || answeredSince < MIN_ANSWERS) return 0;
  const share = Math.min(MAX_SHARE_FOR_ABSENCE, ownShare);
  return (answeredSince * share) / (1 - share);
}

/** Returns how much speaks for a part as the cause, as the logarithm of odds; 0 if there are too few crashes to tell. */
export function weighCause(evidence: PartEvidence): number {
  const crashes = joinCrashes(evidence.crashes).filter(
    ({ isHeld, isExplained }) => isHeld || !isExplained,
  );
  const held = crashes.filter(({ isHeld }) => isHeld);
  const unexplained = held.filter(({ isExplained }) => !isExplained).length;
  if (held.length < MIN_CRASHES || unexplained < MIN_UNEXPLAINED_CRASHES) return 0;
  // The first crash is the reason why the part is looked at, so it is no evidence.
  return (
    evidenceOfCrashes(crashes.slice(1), evidence.share) + missingAnswers(held.length, evidence)
  );
}
