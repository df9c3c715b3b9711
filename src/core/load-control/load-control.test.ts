import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createFakeClock, createMemoryLogger } from '../../testing';
import { createMemorySink, sampleRequest } from '../../testing/sample-request';
import { compileConfiguration, configurationSchema } from '../configuration';
import type { CompiledConfiguration, ConfigurationStore } from '../configuration';
import { createSeededRandom } from '../random';
import { RefusalError } from '../refusals';
import { createLoadControl } from './create-load-control';
import { LOAD_CONTROL_EVENTS } from './events';
import { readDemand } from './read-demand';
import { LOAD_REPORT_HEADER, readLoadReport } from './read-load-report';
import type { Slot } from './types';

function oneServer(version = 1): CompiledConfiguration {
  return compileConfiguration(
    configurationSchema.parse({
      version,
      deployment: 'omaruru',
      regions: [{ name: 'windhoek', failureDomains: ['windhoek-a'] }],
      services: [{ kind: 'plain', name: 'orders', regions: ['windhoek'] }],
      backendServers: [
        {
          id: 'orders-1',
          service: 'orders',
          region: 'windhoek',
          failureDomain: 'windhoek-a',
          address: '10.0.0.1:80',
        },
      ],
      callers: [{ id: 'dealer', keySha256: 'a'.repeat(64), regions: ['windhoek'] }],
    }),
  );
}

function createFixture() {
  const clock = createFakeClock();
  const logger = createMemoryLogger();
  const configuration = oneServer();
  const control = createLoadControl({
    clock,
    logger,
    random: createSeededRandom(1),
    region: 'windhoek',
    failureDomain: 'windhoek-a',
    configuration: { current: () => configuration } as ConfigurationStore,
  });
  const request = (deadlineAtMs: number) => sampleRequest({ configuration, deadlineAtMs });
  const acquire = (deadlineAtMs: number, signal = new AbortController().signal) =>
    control.acquire(request(deadlineAtMs), () => true, signal);
  return { clock, logger, control, request, acquire };
}

type Fixture = ReturnType<typeof createFixture>;

/** Runs requests one after another, so that load control learns how long they take. */
async function runRequests(
  { clock, acquire }: Fixture,
  latencyMs: number,
  count: number,
): Promise<void> {
  for (let index = 0; index < count; index += 1) {
    const slot = await acquire(clock.monotonicMs() + 60_000);
    await clock.advanceByAsync(latencyMs);
    slot.answered();
    slot[Symbol.dispose]();
  }
}

/**
 * Uses all the initial capacity: the initial limit of four, and one more that a caller with a sparse flow may have.
 */
async function useAllCapacity({ clock, acquire }: Fixture): Promise<Slot[]> {
  const slots: Slot[] = [];
  for (let index = 0; index < 5; index += 1) {
    slots.push(await acquire(clock.monotonicMs() + 60_000));
  }
  return slots;
}

async function expectRefusal(promise: Promise<unknown>): Promise<RefusalError> {
  const error = await promise.then(
    () => undefined,
    (reason: unknown) => reason,
  );
  assert.ok(error instanceof RefusalError, `not refused: ${String(error)}`);
  return error;
}

describe('load control', () => {
  it('lets a request wait until capacity is free, and logs the decisions', async () => {
    const fixture = createFixture();
    await runRequests(fixture, 100, 1);
    const slots = await useAllCapacity(fixture);
    const waiting = fixture.acquire(fixture.clock.monotonicMs() + 60_000);
    fixture.clock.advanceBy(50);
    slots.slice(0, 2).forEach((slot) => slot[Symbol.dispose]());
    const slot = await waiting;
    assert.equal(slot.serverId, 'orders-1');
    assert.equal(slot.waitedMs, 50);
    const decisions = fixture.logger
      .of(LOAD_CONTROL_EVENTS.admitted)
      .map(({ fields }) => fields.decision);
    assert.deepEqual(decisions, [...Array<string>(6).fill('run'), 'wait']);
    fixture.control[Symbol.dispose]();
  });

  // The servers are full for longer than a caller has time. The caller must learn that at once, with a retry time,
  // rather than by a timeout after a useless wait.
  it('refuses at once, with a retry time, when the wait would outlast the deadline', async () => {
    const fixture = createFixture();
    await runRequests(fixture, 1_000, 3);
    await useAllCapacity(fixture);
    const { clock, logger } = fixture;
    const atMs = clock.monotonicMs();
    const refusal = await expectRefusal(fixture.acquire(atMs + 1_100));
    assert.equal(clock.monotonicMs(), atMs);
    assert.equal(refusal.definition.slug, 'overloaded');
    assert.equal(refusal.outcome, 'notRun');
    assert.ok((refusal.retryAtUnixMs ?? 0) >= clock.unixMs() + 500);
    assert.equal(logger.of(LOAD_CONTROL_EVENTS.refused).length, 1);
    fixture.control[Symbol.dispose]();
  });

  // A server becomes slow after a request was admitted to wait. If the request ran at the end of its time, it would
  // take capacity for an answer that comes too late.
  it('expires a request in the queue while its caller still has time', async () => {
    const fixture = createFixture();
    await runRequests(fixture, 1_000, 3);
    await useAllCapacity(fixture);
    const { clock, logger } = fixture;
    const deadlineAtMs = clock.monotonicMs() + 3_000;
    const refused = expectRefusal(fixture.acquire(deadlineAtMs));
    await clock.advanceByAsync(2_000);
    assert.equal((await refused).outcome, 'notRun');
    assert.ok(clock.monotonicMs() < deadlineAtMs);
    assert.equal(logger.of(LOAD_CONTROL_EVENTS.expired).length, 1);
    fixture.control[Symbol.dispose]();
  });

  // A caller disconnects while its request waits. If it stayed in the queue, the request would be sent although
  // nobody waits for the answer.
  it('removes a waiting request whose caller has disconnected', async () => {
    const fixture = createFixture();
    await runRequests(fixture, 100, 1);
    const slots = await useAllCapacity(fixture);
    const caller = new AbortController();
    const refused = expectRefusal(fixture.acquire(60_000, caller.signal));
    caller.abort();
    assert.equal((await refused).outcome, 'notRun');
    slots.forEach((slot) => slot[Symbol.dispose]());
    assert.equal((await fixture.acquire(60_000)).waitedMs, 0);
    fixture.control[Symbol.dispose]();
    assert.equal(fixture.clock.pendingCount(), 0);
  });

  it('reports that it cannot serve a request when no server may be used', async () => {
    const { control, request, clock } = createFixture();
    const noServer = () => false;
    assert.equal(control.canServe(request(60_000), noServer), false);
    const { signal } = new AbortController();
    const refusal = await expectRefusal(control.acquire(request(60_000), noServer, signal));
    assert.equal(refusal.definition.slug, 'no-server');
    assert.equal(clock.pendingCount(), 0);
  });

  it('uses the load report of an answer and does not forward it', async () => {
    const { acquire, control, request } = createFixture();
    const slot = await acquire(60_000);
    const sink = createMemorySink();
    const before = control.outlook(request(60_000), () => true).utilisation;
    slot.observe(sink).sendHead({
      status: 200,
      headers: [
        { name: 'content-type', value: 'text/plain' },
        {
          name: LOAD_REPORT_HEADER,
          value: 'JSON {"named_metrics":{"num_requests_running":8,"num_requests_waiting":4}}',
        },
      ],
    });
    assert.deepEqual(
      sink.heads[0]?.headers.map(({ name }) => name),
      ['content-type'],
    );
    const after = control.outlook(request(60_000), () => true).utilisation;
    assert.ok(after > before, 'a reported queue lowers the limit');
  });
});

describe('load reports', () => {
  const cases = [
    [
      'JSON {"named_metrics":{"num_requests_waiting":3}}',
      { runningRequests: 0, waitingRequests: 3 },
    ],
    ['{"named_metrics":{"num_requests_running":2}}', { runningRequests: 2, waitingRequests: 0 }],
    ['TEXT cpu_utilization=0.3', undefined],
    ['{"named_metrics":{"num_requests_running":"many"}}', undefined],
    ['{"cpu_utilization":0.4}', undefined],
  ] as const;
  for (const [header, expected] of cases) {
    it(`reads ${header}`, () => assert.deepEqual(readLoadReport(header), expected));
  }
});

describe('demand', () => {
  const demandOf = (body: object) => readDemand({ body: Buffer.from(JSON.stringify(body)) }, 4_096);
  const system = 'You read floor plans. '.repeat(200);
  const chat = (question: string) => ({
    model: 'kit-large',
    max_tokens: 200,
    messages: [
      { role: 'system', content: system },
      { role: 'user', content: question },
    ],
  });

  it('uses the stated limit, or else the assumed one', () => {
    assert.equal(demandOf(chat('How many trusses?')).maxOutputTokens, 200);
    assert.equal(demandOf({ messages: [] }).maxOutputTokens, 4_096);
    assert.equal(demandOf({ messages: [], max_completion_tokens: 77 }).maxOutputTokens, 77);
  });

  it('returns the same prefixes for the same start of a prompt, and others for another model', () => {
    const one = demandOf(chat('How many trusses?'));
    const other = demandOf(chat('Is the kit in stock, and when does it come?'));
    const adapter = demandOf({ ...chat('How many trusses?'), model: 'kit-small' });
    assert.ok(one.prefixes.length >= 3);
    assert.deepEqual(one.prefixes.slice(0, 3), other.prefixes.slice(0, 3));
    assert.notEqual(one.prefixes[0]?.key, adapter.prefixes[0]?.key);
  });
});
