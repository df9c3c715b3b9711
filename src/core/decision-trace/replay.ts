import { isDeepStrictEqual } from 'node:util';
import { createCallerLimiter } from '../caller-limits';
import { createOutlierTracker } from '../outliers';
import type { Ejection, ObservedAttempt } from '../outliers';
import { createCrashLedger } from '../poison';
import { refusalBySlug } from '../refusals';
import { decideRetry } from '../retries';
import { createSpillover } from '../spillover';
import { replayDraws } from './recorded-random';
import { traceLineSchema } from './schema';
import type { TraceLine, TraceLineOf } from './schema';

/** A decision that came out differently from what the recording states. */
export interface TraceDifference {
  readonly lineNumber: number;
  readonly kind: TraceLine['kind'];
  readonly stated: string;
  readonly replayed: string;
}

/** What a replay found. */
export interface ReplayResult {
  readonly decisions: number;
  readonly differences: readonly TraceDifference[];
}

/** Decides one line again; the result is to equal the line's outcome. */
type Replayer<Kind extends TraceLine['kind']> = (line: TraceLineOf<Kind>) => unknown;

function createRetryReplayer(): Replayer<'retry'> {
  const random = replayDraws();
  return (line) => {
    random.load(line.draws);
    const refusal = refusalBySlug(line.refusal);
    if (refusal === undefined) return `unknown refusal ${line.refusal}`;
    return decideRetry({ ...line, refusal }, line.options, random, () => line.hasBudget);
  };
}

function createCallerLimitReplayer(): Replayer<'callerLimit'> {
  const random = replayDraws();
  let instances = 1;
  let othersPerSecond = 0;
  const limiter = createCallerLimiter({
    random,
    instances: () => instances,
    others: { record: () => {}, demandOf: () => othersPerSecond, callers: () => 0 },
  });
  return (line) => {
    random.load(line.draws);
    instances = line.instances;
    othersPerSecond = line.othersPerSecond;
    const { decision, announcement } = limiter.decide(line.callerId, line.limit, line.atMs);
    const toldPerSecond = announcement?.perSecond;
    return { decision, ...(toldPerSecond === undefined ? {} : { toldPerSecond }) };
  };
}

function createServerTryReplayer(): Replayer<'serverTry'> {
  let options: TraceLineOf<'serverTry'>['options'];
  let ejections: Ejection[] = [];
  const open = new Map<number, ObservedAttempt>();
  const tracker = createOutlierTracker(
    () => {
      if (options === undefined) throw new RangeError('The recording states no options');
      return options;
    },
    (ejection) => ejections.push(ejection),
  );

  const apply = ({ step, tryId, atMs }: TraceLineOf<'serverTry'>): void => {
    const observed = open.get(tryId);
    switch (step.kind) {
      case 'begin':
        open.set(tryId, tracker.begin(step, step.workUnits, atMs));
        return;
      case 'head':
        observed?.headReceived(atMs, step.isFailure);
        return;
      case 'parts':
        observed?.partsReceived(step.count);
        return;
      case 'ended':
        observed?.ended(atMs);
        return;
      case 'failed':
        observed?.failed(atMs, step.failure);
        return;
      case 'abandoned':
        observed?.abandoned(atMs);
        return;
      default:
        step satisfies never;
    }
  };

  return (line) => {
    options = line.options ?? options;
    ejections = [];
    apply(line);
    return ejections;
  };
}

function createPoisonReplayer(): Replayer<'poison'> {
  let options: TraceLineOf<'poison'>['options'] | undefined;
  const ledger = createCrashLedger(() => {
    if (options === undefined) throw new RangeError('The recording states no options');
    return options;
  });
  return (line) => {
    const { fingerprint, step } = line;
    options = line.options;
    if (step.kind === 'crashed') ledger.note(fingerprint, step);
    if (step.kind === 'cleared') ledger.clear(fingerprint, step.atUnixMs);
    return ledger.verdict(fingerprint, step.atUnixMs).kind;
  };
}

function createSpilloverReplayer(): Replayer<'spillover'> {
  const random = replayDraws();
  let decided: Extract<TraceLineOf<'spillover'>['step'], { kind: 'decide' }> | undefined;
  const latest = () => {
    if (decided === undefined) throw new RangeError('The recording states no options');
    return decided;
  };
  const spillover = createSpillover({
    random,
    options: () => latest().options,
    weights: () => latest().weights,
  });
  return ({ service, step, atMs, draws }) => {
    random.load(draws);
    switch (step.kind) {
      case 'decide': {
        decided = step;
        const decision = spillover.decide({ ...step, service, nowMs: atMs });
        return decision.kind === 'leave' ? decision.region : decision.reason;
      }
      case 'begin':
        spillover.begin(service, step.region);
        return '';
      case 'end':
        spillover.end(service, step.region, step.result, atMs);
        return '';
      default:
        return step satisfies never;
    }
  };
}

/** A recording on standard output stands among the lines of the log, which have no kind. */
function isTraceLine(value: unknown): boolean {
  return typeof value === 'object' && value !== null && 'kind' in value;
}

/** Decides every line of a recording again, in order, from fresh state. */
export function replayTrace(text: string): ReplayResult {
  const replayers = {
    retry: createRetryReplayer(),
    callerLimit: createCallerLimitReplayer(),
    serverTry: createServerTryReplayer(),
    poison: createPoisonReplayer(),
    spillover: createSpilloverReplayer(),
  };

  const replay = (line: Exclude<TraceLine, TraceLineOf<'header'>>): unknown => {
    switch (line.kind) {
      case 'retry':
        return replayers.retry(line);
      case 'callerLimit':
        return replayers.callerLimit(line);
      case 'serverTry':
        return replayers.serverTry(line);
      case 'poison':
        return replayers.poison(line);
      case 'spillover':
        return replayers.spillover(line);
      default:
        return line satisfies never;
    }
  };

  // A decision that asks for more chance than was recorded has changed; that is a difference like any other.
  const replayOrReason = (line: Exclude<TraceLine, TraceLineOf<'header'>>): unknown => {
    try {
      return replay(line);
    } catch (error) {
      if (error instanceof RangeError) return error.message;
      throw error;
    }
  };

  const differences: TraceDifference[] = [];
  let decisions = 0;
  text.split('\n').forEach((lineText, index) => {
    if (lineText.trim() === '') return;
    const value: unknown = JSON.parse(lineText);
    if (!isTraceLine(value)) return;
    const line = traceLineSchema.parse(value);
    if (line.kind === 'header') return;
    decisions += 1;
    const replayed = replayOrReason(line);
    if (isDeepStrictEqual(replayed, line.outcome)) return;
    differences.push({
      lineNumber: index + 1,
      kind: line.kind,
      stated: JSON.stringify(line.outcome),
      replayed: JSON.stringify(replayed),
    });
  });
  return { decisions, differences };
}
