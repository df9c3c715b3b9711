import type { PartHistory } from './part-history';
import type { Conviction, CrashSighting, Suspicion } from './types';
import { joinCrashes, weighCause } from './weigh-cause';
import type { CrashOfPart, PartEvidence } from './weigh-cause';

/**
 * Finds the parts of prompts that crash servers, from the crashes and the answers of one service.
 *
 * Requests with such a part differ, so that each is new and ends one more server. What they share is told from what
 * merely stood beside it: a part on which answers are completed is not the cause, and a crash that a known cause explains
 * says little against the other parts that were there.
 */
export interface CauseLedger {
  /** Adds what one instance saw of a crash and this one learns at `nowMs`; `sourceId` names the instance. */
  recordCrash(sourceId: string, sighting: CrashSighting, nowMs: number): void;
  /**
   * Records a complete answer on a part. Returns whether requests with the part were refused for crashes before it, and
   * no longer are.
   */
  recordAnswered(part: string, atMs: number): boolean;
  /** Returns the parts that now count as causes and did not before. */
  findCauses(nowMs: number): readonly Conviction[];
  /** Takes over what another instance found; returns false if this one knows better, or knows it already. */
  adopt(conviction: Conviction, nowMs: number): boolean;
  /** Returns the conviction of a part for which its requests are refused. */
  convictionOf(part: string, nowMs: number): Conviction | undefined;
  convictions(nowMs: number): readonly Conviction[];
  hasSuspicions(): boolean;
  /** Returns what speaks against a part; undefined if it was at fewer than two crashes since an answer on it. */
  suspicionOf(part: string): Suspicion | undefined;
  /**
   * Returns whether the crashes with a suspected part may have other causes than a request with the given parts holds: a part
   * that was at all of them, or few others that are suspected as well.
   */
  isExplainedWithout(part: string, requestParts: readonly string[]): boolean;
  /** Returns the end of the last refusal of a part, monotonic ms; undefined if there was none lately. */
  refusedUntilMs(part: string): number | undefined;
  /** Returns the crashed servers that a known cause explains, each once. */
  takeExplained(): readonly string[];
}

/** Time that a complete answer on a part speaks for it: crashes so soon after it do not count against the part, ms. */
export const ANSWER_PROTECTS_MS = 4_000;
/** Time by which a statement on an answer may seem later than the answer was, ms: the delay of a message. */
const MAX_MESSAGE_DELAY_MS = 200;
/** Crashes that are kept, and for how long, ms. */
const MAX_CRASHES = 256;
const CRASH_TTL_MS = 600_000;
/** Parts that are kept of one crash. */
const MAX_PARTS_OF_CRASH = 512;
/** Odds against chance from which on a part counts as a cause, and as probably one, as logarithms. */
const MIN_EVIDENCE = Math.log(2_000);
const PROBABLE_EVIDENCE = Math.log(50);
/** Causes that are told apart at once. */
const MAX_CAUSES_AT_ONCE = 4;
/** Latest crashes with a part whose reports tell how common it is: early ones rest on few requests. */
const MAX_SHARES_TOLD = 3;
/** Time for which requests with a part are refused at first, ms; it doubles with each relapse. */
const REFUSE_MS = 900_000;
const MAX_REFUSE_MS = 86_400_000;
/** Crashes from which on a part is suspected. */
const MIN_SUSPICIOUS_CRASHES = 2;
/** Trials after which requests with a part are refused for a time, even if chance may explain the crashes. */
const MAX_FAILED_TRIALS = 3;
/** Causes that together may explain all crashes with a part. */
const MAX_CAUSES_BESIDES = 2;
/** Time for which they are refused then, ms, and the factor by which it grows with each relapse. */
const REFUSE_AFTER_TRIALS_MS = 60_000;
const REFUSE_AFTER_TRIALS_GROWTH = 4;
const RELAPSE_GROWTH = 2;

interface Crash {
  readonly serverId: string;
  readonly failureDomain: string;
  readonly atMs: number;
  readonly requestsBySource: Map<string, number>;
  readonly parts: Map<string, { readonly share: number; readonly sentAtMs: number | undefined }>;
  readonly triedParts: Set<string>;
  isTaken: boolean;
}

interface KeptConviction extends Conviction {
  /** Length of the refusal, ms. */
  readonly refuseMs: number;
}

function latest(left: number | undefined, right: number | undefined): number | undefined {
  if (left === undefined || right === undefined) return left ?? right;
  return Math.max(left, right);
}

/** Returns the parts that were at a crash with a part: where that was being tried, those of that request alone. */
function partsBeside({ parts, triedParts }: Crash, part: string): ReadonlySet<string> {
  return triedParts.has(part) ? triedParts : new Set(parts.keys());
}

/** Returns whether few of the causes are enough for each crash to have one; takes the one of most crashes first. */
function mayBeCoveredBy(
  crashes: readonly ReadonlySet<string>[],
  causes: readonly string[],
  maxCauses: number,
): boolean {
  if (crashes.length === 0) return true;
  if (maxCauses === 0) return false;
  const leftBy = (cause: string) => crashes.filter((parts) => !parts.has(cause));
  const left = causes.map(leftBy).sort((one, other) => one.length - other.length)[0] ?? crashes;
  return left.length < crashes.length && mayBeCoveredBy(left, causes, maxCauses - 1);
}

/** Returns whether an answer on a part was completed after the crashes for which the part was convicted had begun. */
export function isAnsweredAfter(answeredAtMs: number, { firstCrashAtMs }: Conviction): boolean {
  return answeredAtMs > firstCrashAtMs + MAX_MESSAGE_DELAY_MS;
}

/** Creates a ledger without crashes that knows of answers from `history`. */
export function createCauseLedger(history: PartHistory): CauseLedger {
  /** In order of arrival. */
  const crashes = new Map<string, Crash>();
  const convictions = new Map<string, KeptConviction>();
  /** Parts of crashes that have been recorded since causes were last looked for. */
  const suspects = new Set<string>();
  /** Parts at several crashes since an answer on them. */
  const suspicions = new Map<string, Suspicion>();

  /** Returns whether a part other than `part` that counts as a cause, or probably is one, was at a crash. */
  const isExplainedBesides = (crash: Crash, part: string, causes: Iterable<string>): boolean =>
    [...causes].some((cause) => cause !== part && crash.parts.has(cause));

  const crashesOf = (part: string): readonly Crash[] => {
    const countsFromMs = history.answeredAtMs(part) + ANSWER_PROTECTS_MS;
    return [...crashes.values()]
      .filter(({ parts, atMs }) => parts.has(part) && atMs > countsFromMs)
      .sort((left, right) => left.atMs - right.atMs);
  };

  const toCrashOfPart = (crash: Crash, part: string): CrashOfPart => ({
    failureDomain: crash.failureDomain,
    atMs: crash.atMs,
    isHeld: crash.parts.has(part),
    sentAtMs: crash.parts.get(part)?.sentAtMs,
    requests: [...crash.requestsBySource.values()].reduce((sum, count) => sum + count, 0),
    isExplained: isExplainedBesides(crash, part, convictions.keys()),
  });

  /** Updates the suspicion of a part after a crash with it or an answer on it. */
  const updateSuspicion = (part: string, learnedAtMs: number): void => {
    const partCrashes = crashesOf(part);
    const joined = joinCrashes(partCrashes.map((crash) => toCrashOfPart(crash, part)));
    const [first, ...others] = partCrashes;
    if (first === undefined || joined.length < MIN_SUSPICIOUS_CRASHES) {
      suspicions.delete(part);
      return;
    }
    const tried = partCrashes.filter(({ triedParts }) => triedParts.has(part));
    suspicions.set(part, {
      crashes: joined.length,
      firstCrashAtMs: first.atMs,
      failedTrials: tried.length,
      learnedAtMs,
      companions: [...partsBeside(first, part)].filter((companion) =>
        others.every((crash) => partsBeside(crash, part).has(companion)),
      ),
    });
  };

  const updateKnownSuspicion = (part: string): void => {
    const known = suspicions.get(part);
    if (known !== undefined) updateSuspicion(part, known.learnedAtMs);
  };

  const dropOld = (nowMs: number): void => {
    for (const [serverId, { atMs, parts }] of crashes) {
      if (crashes.size <= MAX_CRASHES && atMs + CRASH_TTL_MS > nowMs) break;
      crashes.delete(serverId);
      for (const part of parts.keys()) updateKnownSuspicion(part);
    }
    for (const [part, { untilMs, refuseMs }] of convictions) {
      if (untilMs + refuseMs <= nowMs) convictions.delete(part);
    }
  };

  /** Returns what all crashes since the first one with a part say about it. */
  const evidenceOf = (
    part: string,
    partCrashes: readonly Crash[],
    probableCauses: ReadonlySet<string>,
    nowMs: number,
  ): PartEvidence => {
    const firstAtMs = partCrashes[0]?.atMs ?? nowMs;
    const ownShare = history.shareOf(part, nowMs);
    const told = partCrashes
      .slice(-MAX_SHARES_TOLD)
      .map(({ parts }) => parts.get(part)?.share ?? 0);
    const share = told.reduce((sum, each) => sum + each, ownShare) / (told.length + 1);
    return {
      crashes: [...crashes.values()]
        .filter(({ atMs }) => atMs >= firstAtMs)
        .filter(
          (crash) => crash.parts.has(part) || !isExplainedBesides(crash, part, probableCauses),
        )
        .sort((left, right) => left.atMs - right.atMs)
        .map((crash) => toCrashOfPart(crash, part)),
      share,
      ownShare,
      answeredSince: history.answersSince(firstAtMs),
    };
  };

  const convict = (
    part: string,
    partCrashes: readonly Crash[],
    refuseMs: number,
    nowMs: number,
  ): Conviction => {
    const conviction: KeptConviction = {
      part,
      crashes: partCrashes.length,
      firstCrashAtMs: partCrashes[0]?.atMs ?? nowMs,
      untilMs: nowMs + refuseMs,
      refuseMs,
    };
    convictions.set(part, conviction);
    return conviction;
  };

  /** Returns the suspect for which most speaks, if that is enough and it is none of `probableCauses`. */
  const bestSuspect = (
    probableCauses: ReadonlySet<string>,
    minEvidence: number,
    nowMs: number,
  ): string | undefined => {
    let best: { part: string; weight: number } | undefined;
    for (const part of suspects) {
      const isOpen = !convictions.has(part) && !probableCauses.has(part);
      const partCrashes = isOpen ? crashesOf(part) : [];
      if (partCrashes.length > 0) {
        const weight = weighCause(evidenceOf(part, partCrashes, probableCauses, nowMs));
        if (weight >= minEvidence && weight > (best?.weight ?? 0)) best = { part, weight };
      }
    }
    return best?.part;
  };

  /**
   * Returns a part that counts as a cause. Where there are several causes, each is at some of the crashes only, so that
   * none stands out before the crashes of the others are left out.
   */
  const findCause = (nowMs: number): Conviction | undefined => {
    const probable = new Set<string>();
    for (let count = 0; count < MAX_CAUSES_AT_ONCE; count += 1) {
      const next = bestSuspect(probable, PROBABLE_EVIDENCE, nowMs);
      if (next === undefined) break;
      probable.add(next);
    }
    for (const part of probable) {
      const others = new Set([...probable].filter((other) => other !== part));
      const weight = weighCause(evidenceOf(part, crashesOf(part), others, nowMs));
      if (weight >= MIN_EVIDENCE) return convict(part, crashesOf(part), REFUSE_MS, nowMs);
    }
    return undefined;
  };

  /** Returns a part whose refusal has ended and that has crashed a server again. */
  const findRelapse = (nowMs: number): Conviction | undefined => {
    for (const [part, { untilMs, refuseMs }] of convictions) {
      const later = untilMs > nowMs ? [] : crashesOf(part).filter(({ atMs }) => atMs > untilMs);
      if (later.length > 0) {
        const growth = refuseMs < REFUSE_MS ? REFUSE_AFTER_TRIALS_GROWTH : RELAPSE_GROWTH;
        return convict(part, later, Math.min(MAX_REFUSE_MS, growth * refuseMs), nowMs);
      }
    }
    return undefined;
  };

  /** Returns a part that has crashed servers in several trials, whatever else explains that. */
  const findFailedTrials = (nowMs: number): Conviction | undefined => {
    for (const part of suspects) {
      const failedTrials = suspicions.get(part)?.failedTrials ?? 0;
      if (failedTrials >= MAX_FAILED_TRIALS && !convictions.has(part)) {
        return convict(part, crashesOf(part), REFUSE_AFTER_TRIALS_MS, nowMs);
      }
    }
    return undefined;
  };

  /** Releases parts that were always there together with a cause that has more crashes. */
  const releaseCompanions = (cause: string): void => {
    const causeCrashes = crashesOf(cause).length;
    for (const part of convictions.keys()) {
      const partCrashes = part === cause ? [] : crashesOf(part);
      const isCompanion = partCrashes.every(({ parts }) => parts.has(cause));
      if (partCrashes.length > 0 && partCrashes.length < causeCrashes && isCompanion) {
        convictions.delete(part);
      }
    }
  };

  return {
    recordCrash(sourceId, sighting, nowMs) {
      const { serverId, failureDomain, atMs, requests, parts, triedParts } = sighting;
      const crash = crashes.get(serverId) ?? {
        serverId,
        failureDomain,
        atMs,
        requestsBySource: new Map<string, number>(),
        parts: new Map(),
        triedParts: new Set<string>(),
        isTaken: false,
      };
      crashes.set(serverId, crash);
      crash.requestsBySource.set(sourceId, requests);
      for (const part of triedParts) crash.triedParts.add(part);
      for (const { part, share, sentAtMs } of parts) {
        if (crash.parts.size >= MAX_PARTS_OF_CRASH) break;
        const known = crash.parts.get(part);
        crash.parts.set(part, {
          share: Math.max(share, known?.share ?? 0),
          sentAtMs: latest(sentAtMs, known?.sentAtMs),
        });
        suspects.add(part);
      }
      for (const { part } of parts) updateSuspicion(part, nowMs);
    },
    recordAnswered(part, atMs) {
      history.recordAnswered([part], atMs);
      updateKnownSuspicion(part);
      const conviction = convictions.get(part);
      if (conviction === undefined || !isAnsweredAfter(atMs, conviction)) return false;
      return convictions.delete(part);
    },
    findCauses(nowMs) {
      dropOld(nowMs);
      const found: Conviction[] = [];
      const findNext = () => findRelapse(nowMs) ?? findCause(nowMs) ?? findFailedTrials(nowMs);
      for (let next = findNext(); next !== undefined; next = findNext()) {
        releaseCompanions(next.part);
        found.push(next);
      }
      suspects.clear();
      return found;
    },
    adopt(conviction, nowMs) {
      const { part, untilMs } = conviction;
      if (isAnsweredAfter(history.answeredAtMs(part), conviction) || untilMs <= nowMs) return false;
      const known = convictions.get(part);
      if (known !== undefined && known.untilMs > nowMs) return false;
      convictions.set(part, { ...conviction, refuseMs: untilMs - nowMs });
      releaseCompanions(part);
      return true;
    },
    convictionOf(part, nowMs) {
      const conviction = convictions.get(part);
      return conviction !== undefined && conviction.untilMs > nowMs ? conviction : undefined;
    },
    hasSuspicions: () => suspicions.size > 0,
    suspicionOf: (part) => suspicions.get(part),
    isExplainedWithout(part, requestParts) {
      const suspicion = suspicions.get(part);
      if (suspicion === undefined) return true;
      const isMissing = (other: string) => other !== part && !requestParts.includes(other);
      const isOpen = (other: string) => history.answeredAtMs(other) <= suspicion.firstCrashAtMs;
      if (suspicion.companions.some((other) => isMissing(other) && isOpen(other))) return true;
      const causes = [...convictions.keys(), ...suspicions.keys()].filter(isMissing);
      return mayBeCoveredBy(
        crashesOf(part).map((crash) => partsBeside(crash, part)),
        causes,
        MAX_CAUSES_BESIDES,
      );
    },
    refusedUntilMs: (part) => convictions.get(part)?.untilMs,
    convictions: (nowMs) => [...convictions.values()].filter(({ untilMs }) => untilMs > nowMs),
    takeExplained() {
      const causes = [...convictions.keys()];
      const explained = [...crashes.values()].filter(
        (crash) => !crash.isTaken && causes.some((cause) => crash.parts.has(cause)),
      );
      for (const crash of explained) crash.isTaken = true;
      return explained.map(({ serverId }) => serverId);
    },
  };
}
