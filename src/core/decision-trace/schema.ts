import { z } from 'zod';
import {
  outlierOptionsSchema,
  poisonOptionsSchema,
  retryOptionsSchema,
  spilloverOptionsSchema,
  weightsSchema,
} from '../configuration';

/**
 * Recorded decisions, one JSON document a line: what a decision rested on, the chance it drew, and what came out.
 * A recording holds no bodies, headers, paths or keys. Times are on the instance's monotonic clock.
 */

const draws = z.array(z.number()).describe('Random numbers drawn, in order, each from 0 to 1');
const atMs = z.number().describe('When it was decided, ms');

const evidence = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('neverSent') }),
  z.strictObject({ kind: z.literal('refusedByPeer'), vouches: z.boolean() }),
  z.strictObject({ kind: z.literal('refusedByServer'), declaredNotRun: z.boolean() }),
  z.strictObject({ kind: z.literal('ticketNotVouchedFor') }),
  z.strictObject({ kind: z.literal('vouchedByTicketOwner') }),
  z.strictObject({ kind: z.literal('ranBefore') }),
  z.strictObject({
    kind: z.literal('lostAfterSending'),
    cause: z.enum([
      'reset',
      'timeout',
      'silence',
      'aborted',
      'malformed',
      'peerFellSilent',
      'endless',
    ]),
  }),
]);

const header = z.strictObject({
  kind: z.literal('header'),
  format: z.literal(1).describe('Version of this format'),
  instanceId: z.string(),
  about: z.string().describe('What was recorded, for a person to read'),
});

const retry = z.strictObject({
  kind: z.literal('retry'),
  requestId: z.string(),
  service: z.string(),
  tries: z.int(),
  triesThatMayHaveRun: z.int(),
  refusal: z.string().describe('Slug of the refusal'),
  evidence,
  isRepeatable: z.boolean(),
  headSent: z.boolean(),
  callerGone: z.boolean(),
  isForwarded: z.boolean(),
  nowMs: z.number(),
  deadlineAtMs: z.number(),
  options: retryOptionsSchema,
  hasBudget: z.boolean(),
  draws,
  outcome: z.discriminatedUnion('kind', [
    z.strictObject({ kind: z.literal('retry'), atMs: z.number(), reason: z.string() }),
    z.strictObject({ kind: z.literal('giveUp'), reason: z.string() }),
  ]),
});

const callerLimit = z.strictObject({
  kind: z.literal('callerLimit'),
  atMs,
  callerId: z.string(),
  limit: z.strictObject({ requestsPerSecond: z.number(), burstRequests: z.number() }),
  instances: z.int(),
  othersPerSecond: z.number().describe('Demand that others had told of, requests/s'),
  draws,
  outcome: z.strictObject({
    decision: z.discriminatedUnion('kind', [
      z.strictObject({ kind: z.literal('admit') }),
      z.strictObject({
        kind: z.literal('refuse'),
        retryAtMs: z.number(),
        ratePerSecond: z.number(),
      }),
    ]),
    toldPerSecond: z.number().optional().describe('Demand told to the others, requests/s'),
  }),
});

const ejection = z.strictObject({
  serverId: z.string(),
  group: z.string(),
  reason: z.enum(['failures', 'slow', 'unreachable']),
  untilMs: z.number(),
  ejections: z.int(),
});

const serverTry = z.strictObject({
  kind: z.literal('serverTry'),
  atMs,
  tryId: z.int().describe('Names the try within the recording'),
  step: z.discriminatedUnion('kind', [
    z.strictObject({
      kind: z.literal('begin'),
      serverId: z.string(),
      group: z.string(),
      workUnits: z.number(),
    }),
    z.strictObject({ kind: z.literal('head'), isFailure: z.boolean() }),
    z.strictObject({ kind: z.literal('parts'), count: z.int() }),
    z.strictObject({ kind: z.literal('ended') }),
    z.strictObject({ kind: z.literal('failed'), failure: z.enum(['unreachable', 'broken']) }),
    z.strictObject({ kind: z.literal('abandoned') }),
  ]),
  options: outlierOptionsSchema.optional().describe('Those in force; stated with each begin'),
  outcome: z.array(ejection).describe('Servers that were ejected by it'),
});

const poison = z.strictObject({
  kind: z.literal('poison'),
  fingerprint: z.string(),
  step: z.discriminatedUnion('kind', [
    z.strictObject({
      kind: z.literal('crashed'),
      tryId: z.string(),
      serverId: z.string(),
      atUnixMs: z.number(),
    }),
    z.strictObject({ kind: z.literal('cleared'), atUnixMs: z.number() }),
    z.strictObject({ kind: z.literal('asked'), atUnixMs: z.number() }),
  ]),
  options: poisonOptionsSchema,
  outcome: z.enum(['unknown', 'suspect', 'refused']),
});

const homeOutlook = z.strictObject({
  canServe: z.boolean(),
  wouldRefuse: z.boolean(),
  expectedWaitMs: z.number(),
  expectedServiceMs: z.number(),
  utilisation: z.number(),
});

const spillover = z.strictObject({
  kind: z.literal('spillover'),
  atMs,
  service: z.string(),
  step: z.discriminatedUnion('kind', [
    z.strictObject({
      kind: z.literal('decide'),
      home: homeOutlook,
      regions: z.array(z.strictObject({ region: z.string(), roundTripMs: z.number() })),
      weights: weightsSchema,
      options: spilloverOptionsSchema,
    }),
    z.strictObject({ kind: z.literal('begin'), region: z.string() }),
    z.strictObject({
      kind: z.literal('end'),
      region: z.string(),
      result: z.enum(['answered', 'refusedForLoad', 'failed']),
    }),
  ]),
  draws,
  outcome: z
    .string()
    .describe('The region it leaves for, or the reason why it stays; empty for steps'),
});

/** The zod schema of one line. */
export const traceLineSchema = z.discriminatedUnion('kind', [
  header,
  retry,
  callerLimit,
  serverTry,
  poison,
  spillover,
]);

/** One line of a recording. */
export type TraceLine = z.output<typeof traceLineSchema>;
/** A line of one kind. */
export type TraceLineOf<Kind extends TraceLine['kind']> = Extract<TraceLine, { kind: Kind }>;

/** Takes down decisions as they are made. */
export type DecisionRecorder = (line: TraceLine) => void;
