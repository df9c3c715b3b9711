import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createFakeClock, createMemoryLogger } from '../../testing';
import { createMemorySink, sampleModelService, sampleRequest } from '../../testing/sample-request';
import { resilienceSchema } from '../configuration';
import { createGossipStore } from '../gossip';
import { createPoisonGuard } from '../poison';
import { createSeededRandom } from '../random';
import { REFUSALS, RefusalError } from '../refusals';
import { createRetryBudget } from '../retries';
import { serveStream } from '../streams';
import { runAttempts } from './run-attempts';
import type { GatewayRequest, ResponseSink } from './types';

const service = sampleModelService();

const BODY = { model: 'kit-large', stream: true, messages: [{ role: 'user', content: 'a plan' }] };
const HEAD = { status: 200, headers: [{ name: 'content-type', value: 'text/event-stream' }] };
const TEXT = `data: ${JSON.stringify({ id: 'c', created: 1, choices: [{ index: 0, delta: { content: 'a' } }] })}\n\n`;

/** What one engine does with a request. */
type EngineTurn = 'lost before its head' | 'cut midway';

function lostAt(engine: number): RefusalError {
  return new RefusalError(REFUSALS.serverFailed, {
    detail: 'reset',
    step: 'test',
    peer: `engine-${engine}`,
    evidence: { kind: 'lostAfterSending', cause: 'reset' },
  });
}

/** Serves a stream at engines that each do what `turns` says, and returns how many got it. */
async function enginesUsed(turns: readonly EngineTurn[]): Promise<number> {
  const clock = createFakeClock();
  const logger = createMemoryLogger();
  const resilience = resilienceSchema.parse({});
  let engines = 0;
  const attempts = {
    clock,
    random: createSeededRandom(1),
    logger,
    poison: createPoisonGuard({
      clock,
      logger,
      gossip: createGossipStore('windhoek-a', clock),
      key: new Uint8Array(32),
      options: () => resilience.poison,
    }),
    retryBudget: createRetryBudget(() => resilience.retries),
    async runAttempt(_request: GatewayRequest, sink: ResponseSink) {
      const turn = turns[engines];
      engines += 1;
      if (turn === 'cut midway') {
        sink.sendHead(HEAD);
        await sink.sendChunk(Buffer.from(TEXT));
      }
      throw lostAt(engines);
    },
  };
  const request = sampleRequest({
    service,
    path: '/v1/chat/completions',
    body: Buffer.from(JSON.stringify(BODY)),
  });
  const options = {
    clock,
    logger,
    serveLeg: (leg: GatewayRequest, sink: ResponseSink, signal: AbortSignal) =>
      runAttempts(attempts, leg, sink, signal),
  };
  const { signal } = new AbortController();
  const served = serveStream(options, request, createMemorySink(), signal).catch(() => undefined);
  await clock.advanceByAsync(5_000);
  await served;
  return engines;
}

/**
 * An engine loses a chat before it says anything, and the next one breaks off in the midst of the answer. Each part of
 * a stream counted its own tries from one, so the part that goes on at another engine had two more: four engines worked
 * on a prompt that had cost two of them already. One notices engines that fail one after the other under one request id.
 */
describe('the engines that a streamed answer may cost', () => {
  const cases: readonly { turns: readonly EngineTurn[] }[] = [
    { turns: ['lost before its head', 'lost before its head'] },
    { turns: ['cut midway', 'cut midway'] },
    { turns: ['lost before its head', 'cut midway', 'lost before its head', 'cut midway'] },
    { turns: ['cut midway', 'lost before its head', 'lost before its head'] },
  ];
  for (const { turns } of cases) {
    it(`are two in all: ${turns.join(', ')}`, async () => {
      assert.equal(await enginesUsed(turns), 2);
    });
  }
});
