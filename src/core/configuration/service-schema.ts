import { z } from 'zod';
import { nameSchema, regionNamesSchema } from './names-schema';

/** Services: what callers ask for. */

/** Which work goes first when not all can. */
export const prioritySchema = z.enum(['interactive', 'batch']);

const healthRules = z.strictObject({
  path: z
    .string()
    .startsWith('/')
    .optional()
    .describe('Path of the health check; default: /health for models, /healthz for plain services'),
  intervalMs: z
    .int()
    .min(100)
    .default(1_000)
    .describe('Time between two checks of a server by one instance, ms'),
  timeoutMs: z.int().min(10).default(500).describe('Longest wait for the answer to a check, ms'),
  failuresToDown: z
    .int()
    .min(1)
    .default(2)
    .describe('Failed checks in a row until a server gets no new work, checks'),
  successesToUp: z
    .int()
    .min(1)
    .default(2)
    .describe('Good checks in a row until a server gets new work again, checks'),
  slowStartMs: z
    .int()
    .min(0)
    .default(30_000)
    .describe('Time over which a server that came back rises from a tenth to its full share, ms'),
});

const queueingRules = z.strictObject({
  batchShare: z
    .number()
    .min(0.01)
    .max(0.99)
    .default(0.2)
    .describe('Share of the work that batch requests get while interactive ones wait, 0 to 1'),
  batchLongestWaitMs: z
    .int()
    .min(100)
    .default(20_000)
    .describe('Wait after which a batch request goes next whatever else waits, ms'),
  standingWaitMs: z
    .int()
    .min(10)
    .default(500)
    .describe('Longest wait of interactive requests that is granted while overload lasts, ms'),
});

const commonService = {
  name: nameSchema.describe('What callers ask for and servers belong to'),
  regions: regionNamesSchema.describe('Regions that this service may run in'),
  priority: prioritySchema.default('interactive').describe('interactive waits before batch'),
  deadlineMs: z
    .int()
    .min(50)
    .max(3_600_000)
    .default(60_000)
    .describe('Time for a whole answer when the caller states none, ms'),
  longestDeadlineMs: z
    .int()
    .min(50)
    .max(3_600_000)
    .default(600_000)
    .describe('Longest time that a caller may state, ms'),
  silenceTimeoutMs: z
    .int()
    .min(50)
    .default(10_000)
    .describe(
      'Silence of a server in the middle of an answer after which its connection counts as dead, ms',
    ),
  echoesRequestId: z
    .boolean()
    .default(false)
    .describe(
      'Whether its servers answer with the x-request-id that they were given; an answer with another is dropped',
    ),
  queueing: queueingRules.prefault({}).describe('How its requests wait for their turn'),
  health: healthRules.prefault({}).describe('How the servers of this service are checked'),
};

const modelService = z.strictObject({
  kind: z.literal('model').describe('Engines that speak the OpenAI HTTP API'),
  ...commonService,
  models: z
    .array(z.string().min(1))
    .min(1)
    .describe('Model and adapter names that callers may ask for'),
  maxOutputTokens: z
    .int()
    .min(1)
    .default(4096)
    .describe('Output assumed when the caller states no max_tokens, tokens'),
  resumption: z
    .enum(['none', 'continueFinalMessage'])
    .default('none')
    .describe(
      'How its engines go on with an answer that broke off: not at all, or by continue_final_message as vLLM has it',
    ),
});

const nonRepeatableRule = z.strictObject({
  method: z.enum(['POST', 'PUT', 'PATCH', 'DELETE']),
  pathPrefix: z.string().startsWith('/').describe('Start of the path within the service'),
});

const plainService = z.strictObject({
  kind: z.literal('plain').describe('Servers of any HTTP application'),
  ...commonService,
  nonRepeatable: z
    .array(nonRepeatableRule)
    .default([])
    .describe('Calls that must run at most once; they need a ticket'),
  notRunStatuses: z
    .array(z.int().min(400).max(599))
    .default([])
    .describe('Statuses by which this application vouches that the call did not run'),
  ticketValidMs: z
    .int()
    .min(1_000)
    .max(3_600_000)
    .default(120_000)
    .describe('Time in which a ticket is redeemed, and its answer may be had again, ms'),
});

/** A service of either kind. */
export const serviceSchema = z.discriminatedUnion('kind', [modelService, plainService]);
