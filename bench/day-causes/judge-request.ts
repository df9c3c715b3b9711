import { PASS_THROUGH_EVENTS } from '../../src/core/pass-through/events';
import type { RequestLine } from './read-log';

/** What kept a request from being served in time. */
export type Cause =
  | 'in time'
  /** The first byte was late although less than the objective was predicted. */
  | 'first byte late, not predicted'
  | 'first byte late, as predicted'
  | 'first byte late, sent to another region'
  | 'pause between events'
  | 'answered with a failure'
  | 'refused: no server'
  | 'refused: instance behind'
  | 'refused: overloaded'
  | 'refused: overloaded after another region refused'
  | 'refused: other'
  | 'cut off midway'
  | 'caller left'
  /** The instance ended, or the day did. */
  | 'no end in the log';

/** One request with its cause. */
export interface JudgedRequest {
  readonly atS: number;
  readonly region: string;
  readonly size: 'long prompt' | 'short prompt' | 'no prompt';
  /** Tokens of its prompt; undefined where no line says. */
  readonly promptTokens: number | undefined;
  /** Requests with the same service and objective are of one kind; undefined where no line says both. */
  readonly kind: string | undefined;
  /** Whether its caller got an answer whole, in time or late. */
  readonly isServed: boolean;
  readonly cause: Cause;
}

const { placed, answered, refused, brokenOff, callerGone } = PASS_THROUGH_EVENTS;
/** Prompts above this are called long: several hundred ms of a usual server's time. */
const LONG_PROMPT_TOKENS = 3_000;
const FAILURE_STATUS = 500;

const SERVED: ReadonlySet<Cause> = new Set([
  'in time',
  'first byte late, not predicted',
  'first byte late, as predicted',
  'first byte late, sent to another region',
  'pause between events',
]);

function promptTokensOf(lines: readonly RequestLine[]): number | undefined {
  return lines.find(({ event }) => event.promptTokens !== undefined)?.event.promptTokens;
}

function kindOf(lines: readonly RequestLine[]): string | undefined {
  const service = lines.find(({ event }) => event.service !== undefined)?.event.service;
  const objective = lines.find(({ event }) => event.objectiveMs !== undefined)?.event.objectiveMs;
  return service === undefined || objective === undefined ? undefined : `${service} ${objective}`;
}

function sizeOf(tokens: number | undefined): JudgedRequest['size'] {
  if (tokens === undefined) return 'no prompt';
  return tokens > LONG_PROMPT_TOKENS ? 'long prompt' : 'short prompt';
}

function causeOfAnswer(lines: readonly RequestLine[], last: RequestLine): Cause {
  const { event } = last;
  if ((event.status ?? 0) >= FAILURE_STATUS) return 'answered with a failure';
  const objectiveMs = event.objectiveMs ?? Infinity;
  const isStream = (event.events ?? 0) > 0;
  const tookMs = (isStream ? event.firstByteMs : event.totalMs) ?? 0;
  if (tookMs <= objectiveMs) {
    const isPaused = (event.longestPauseMs ?? 0) > (event.pauseObjectiveMs ?? Infinity);
    return isPaused ? 'pause between events' : 'in time';
  }
  const sent = lines.filter((line) => line.event.event === placed.id);
  if (sent.some((line) => line.event.toRegion !== undefined)) {
    return 'first byte late, sent to another region';
  }
  const predictedMs = sent.at(-1)?.event.predictedMs ?? 0;
  return predictedMs > objectiveMs
    ? 'first byte late, as predicted'
    : 'first byte late, not predicted';
}

function causeOfRefusal(lines: readonly RequestLine[], last: RequestLine): Cause {
  const wasSentAway = lines.some((line) => line.event.toRegion !== undefined);
  switch (last.event.reason) {
    case 'overloaded':
      return wasSentAway
        ? 'refused: overloaded after another region refused'
        : 'refused: overloaded';
    case 'noServer':
      return 'refused: no server';
    case 'instanceBehind':
      return 'refused: instance behind';
    default:
      return 'refused: other';
  }
}

function causeOf(lines: readonly RequestLine[], last: RequestLine): Cause {
  switch (last.event.event) {
    case answered.id:
      return causeOfAnswer(lines, last);
    case refused.id:
      return causeOfRefusal(lines, last);
    case brokenOff.id:
      return 'cut off midway';
    case callerGone.id:
      return 'caller left';
    default:
      return 'no end in the log';
  }
}

/**
 * Judges a request by the instance that its caller asked, which wrote the first line of it. Undefined where no line says
 * what became of it.
 */
export function judgeRequest(lines: readonly RequestLine[]): JudgedRequest | undefined {
  const [first] = lines;
  if (first === undefined) return undefined;
  const own = lines.filter((line) => line.instance === first.instance);
  const last = own.at(-1) ?? first;
  const promptTokens = promptTokensOf(lines);
  const cause = causeOf(own, last);
  return {
    atS: first.atS,
    region: first.event.region,
    size: sizeOf(promptTokens),
    promptTokens,
    kind: kindOf(lines),
    isServed: SERVED.has(cause),
    cause,
  };
}
