import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { compileConfiguration, configurationSchema, resilienceSchema } from '../configuration';
import type { Evidence } from '../outcomes';
import { createSeededRandom } from '../random';
import { REFUSALS, RefusalError } from '../refusals';
import { createGossipStore } from '../gossip';
import { createPoisonGuard } from '../poison';
import { createRetryBudget } from '../retries';
import { createFakeClock, createMemoryLogger } from '../../testing';
import type { GatewayRequest, ResponseSink } from './types';
import { runAttempts } from './run-attempts';

const configuration = compileConfiguration(
  configurationSchema.parse({
    version: 1,
    deployment: 'omaruru',
    regions: [{ name: 'rundu', failureDomains: ['rundu-a'] }],
    services: [{ kind: 'model', name: 'kit', regions: ['rundu'], models: ['kit-large'] }],
    backendServers: [],
    callers: [{ id: 'farmer', keySha256: '0'.repeat(64), regions: ['rundu'] }],
  }),
);

const SILENT_SINK: ResponseSink = {
  headSent: false,
  sendHead() {},
  sendChunk: () => Promise.resolve(),
  end() {},
  abort() {},
};

function requestOf(): GatewayRequest {
  const service = configuration.serviceNamed('kit');
  const caller = configuration.callerById('farmer');
  assert.ok(service !== undefined && caller !== undefined);
  return {
    requestId: 'r1',
    attempt: 1,
    origin: { kind: 'caller' },
    caller,
    service,
    method: 'POST',
    path: '/v1/chat/completions',
    headers: [],
    body: new Uint8Array(),
    deadlineAtMs: 10_000,
    configuration,
  };
}

const failure = (peer: string, evidence: Evidence) =>
  new RefusalError(REFUSALS.serverFailed, {
    detail: 'gone',
    step: 'send-to-server',
    peer,
    evidence,
  });

/** Runs a request whose tries end as `ends` says, one after the other; undefined stands for an answer. */
async function run(ends: readonly (RefusalError | undefined)[]) {
  const clock = createFakeClock();
  const seen: GatewayRequest[] = [];
  const logger = createMemoryLogger();
  const resilience = resilienceSchema.parse({});
  const poison = createPoisonGuard({
    clock,
    logger,
    gossip: createGossipStore('rundu-a', clock),
    key: new Uint8Array(32),
    options: () => resilience.poison,
  });
  const dependencies = {
    clock,
    random: createSeededRandom(1),
    logger,
    poison,
    retryBudget: createRetryBudget(() => resilience.retries),
    runAttempt: async (request: GatewayRequest) => {
      const end = ends[seen.length];
      seen.push(request);
      if (end !== undefined) throw end;
    },
  };
  const { signal } = new AbortController();
  const outcome = runAttempts(dependencies, requestOf(), SILENT_SINK, signal).then(
    () => undefined,
    (error: unknown) => error as RefusalError,
  );
  await clock.advanceByAsync(5_000);
  return { seen, refusal: await outcome };
}

const LOST = { kind: 'lostAfterSending', cause: 'reset' } as const;
const NEVER_SENT = { kind: 'neverSent' } as const;

describe('the tries of one request', () => {
  it('go on with the next number and name the servers that failed', async () => {
    const { seen, refusal } = await run([failure('engine-1', LOST), undefined]);
    assert.equal(refusal, undefined);
    assert.deepEqual(
      seen.map(({ attempt, avoid }) => ({ attempt, avoid })),
      [
        { attempt: 1, avoid: undefined },
        { attempt: 2, avoid: ['engine-1'] },
      ],
    );
  });

  // The first server may have run the request before it was lost; the second could not be reached at all.
  // Were the caller told what the second one proves, it would send work again that had run.
  it('say that the outcome is unknown when any of them may have run', async () => {
    const { refusal } = await run([
      failure('engine-1', LOST),
      failure('engine-2', NEVER_SENT),
      failure('engine-3', NEVER_SENT),
    ]);
    assert.equal(refusal?.outcome, 'unknown');
    assert.equal(refusal?.definition, REFUSALS.serverFailed);
  });

  it('say that nothing ran when none of them reached a server', async () => {
    const { seen, refusal } = await run([1, 2, 3].map((n) => failure(`engine-${n}`, NEVER_SENT)));
    assert.equal(seen.length, 3);
    assert.equal(refusal?.outcome, 'notRun');
  });
});
