import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { createMemorySink, sampleRequest } from '../../testing/sample-request';
import { ForwardEventSchema } from '../../gen/forward_pb';
import type { ForwardEvent, ForwardRequest } from '../../gen/forward_pb';
import type { Evidence } from '../outcomes';
import { REFUSALS, RefusalError } from '../refusals';
import type { GatewayRequest } from '../serving';
import { createPeerForwarder } from './forward';
import type { ForwardTransport } from './forward-transport';
import { createForwardEventSink, toRefusalEvent } from './peer-sink';

/** What a fake peer does with the one message that it gets. */
interface PeerScript {
  readonly connects?: boolean;
  /** What it answers to a cancellation and to the message that proves the connection. */
  readonly cancelAnswers?: readonly (boolean | undefined)[];
  readonly events?: (message: ForwardRequest) => ForwardEvent[] | Promise<ForwardEvent[]>;
  readonly breaks?: boolean;
  readonly lastCheck?: () => void;
}

async function forwardTo(script: PeerScript, changes: Partial<GatewayRequest> = {}) {
  const messages: ForwardRequest[] = [];
  const cancelAnswers = [...(script.cancelAnswers ?? [])];
  const transport: ForwardTransport = {
    connect: async () => {
      if (script.connects === false) throw new Error('refused');
    },
    forward(_address, message) {
      messages.push(message);
      return {
        cancel: () => {},
        async *[Symbol.asyncIterator]() {
          yield* (await script.events?.(message)) ?? [];
          if (script.breaks === true) throw new Error('reset');
        },
      };
    },
    cancel: async () => cancelAnswers.shift(),
    isTimeout: () => false,
  };
  const forwarder = createPeerForwarder({
    transport,
    nowMs: () => 0,
    instanceId: 'rundu-a',
    incarnation: 1,
    incarnationOf: () => 2,
  });
  const begun: string[] = [];
  const evidence: Evidence[] = [];
  const guard = {
    idempotencyKey: 'ticket-1',
    beginSend: () => begun.push('begun'),
    sendFailed: (one: Evidence) => evidence.push(one),
  };
  const sink = createMemorySink();
  const target = {
    instanceId: 'windhoek-a',
    peerAddress: '10.0.0.1:7400',
    timeLeftMs: 1_000,
    signal: new AbortController().signal,
    lastCheck: script.lastCheck ?? (() => {}),
  };
  let refusal: RefusalError | undefined;
  try {
    await forwarder.forward(target, sampleRequest({ guard, ...changes }), sink);
  } catch (error) {
    assert.ok(error instanceof RefusalError, String(error));
    refusal = error;
  }
  return { refusal, sink, messages, begun, evidence };
}

async function answerEvents(message: ForwardRequest, chunks: readonly string[]) {
  const events: ForwardEvent[] = [];
  const sink = createForwardEventSink(message, {
    write: async (event) => {
      events.push(event);
    },
    end: () => {},
    abort: () => {},
  });
  sink.sendHead({ status: 200, headers: [] });
  for (const chunk of chunks) await sink.sendChunk(Buffer.from(chunk));
  sink.end();
  return events;
}

// The link to the other region fails in one way or another while an order is on its way there. What the caller
// is told decides whether it places the order again.
describe('a forwarded order that brings no answer', () => {
  const refused = (evidence: Evidence) => (message: ForwardRequest) => [
    toRefusalEvent(
      message,
      new RefusalError(REFUSALS.noServer, { detail: 'none', step: 'test', evidence }),
    ),
  ];
  const cases = [
    { name: 'no connection', script: { connects: false }, outcome: 'notRun', sent: 0 },
    {
      name: 'a connection that brings no answers',
      script: { cancelAnswers: [undefined] },
      outcome: 'notRun',
      sent: 0,
    },
    {
      name: 'a break that the peer settles by vouching',
      script: { cancelAnswers: [false, true], breaks: true },
      outcome: 'notRun',
      sent: 1,
    },
    {
      name: 'a break after the peer had sent it',
      script: { cancelAnswers: [false, false], breaks: true },
      outcome: 'unknown',
      sent: 1,
    },
    {
      name: 'a break, and silence when asked',
      script: { cancelAnswers: [false, undefined], breaks: true },
      outcome: 'unknown',
      sent: 1,
    },
    {
      name: 'an early end',
      script: { cancelAnswers: [false, undefined] },
      outcome: 'unknown',
      sent: 1,
    },
    {
      name: 'a refusal by which the peer vouches',
      script: { cancelAnswers: [false], events: refused({ kind: 'neverSent' }) },
      outcome: 'notRun',
      sent: 1,
    },
    {
      name: 'a refusal by which it does not',
      script: {
        cancelAnswers: [false],
        events: refused({ kind: 'lostAfterSending', cause: 'reset' }),
      },
      outcome: 'unknown',
      sent: 1,
    },
    {
      name: 'word that it ran before',
      script: { cancelAnswers: [false], events: refused({ kind: 'ranBefore' }) },
      outcome: 'ran',
      sent: 1,
    },
  ] as const;
  for (const { name, script, outcome, sent } of cases) {
    it(`is "${outcome}" after ${name}`, async () => {
      const { refusal, messages, begun, evidence } = await forwardTo(script);
      assert.equal(refusal?.outcome, outcome);
      assert.equal(messages.length, sent);
      assert.equal(begun.length, sent);
      assert.equal(evidence.length, sent);
    });
  }

  it('was never sent where its data was barred while the connection was proved', async () => {
    // A version that keeps the data at home comes into force in the moment between the choice of the region
    // and the send. The order must not cross.
    const { refusal, messages } = await forwardTo({
      cancelAnswers: [false],
      lastCheck: () => {
        throw new RefusalError(REFUSALS.regionNotAllowed, {
          detail: 'windhoek',
          step: 'test',
          evidence: { kind: 'neverSent' },
        });
      },
    });
    assert.equal(refusal?.outcome, 'notRun');
    assert.equal(messages.length, 0);
  });

  it('was never sent when its deadline passed meanwhile', async () => {
    const { refusal, messages } = await forwardTo({ cancelAnswers: [false] }, { deadlineAtMs: 0 });
    assert.equal(refusal?.definition, REFUSALS.deadlineExceeded);
    assert.equal(messages.length, 0);
  });
});

// Something between two instances drops, repeats or misdelivers what one of them answers. A caller that took
// the rest for the whole would cut timber to half a list, or read another caller's.
describe('an answer from a peer', () => {
  it('is passed on when it is whole', async () => {
    const { refusal, sink } = await forwardTo({
      cancelAnswers: [false],
      events: (message) => answerEvents(message, ['half ', 'and half']),
    });
    assert.equal(refusal, undefined);
    assert.equal(sink.text(), 'half and half');
    assert.equal(sink.ends, 1);
  });

  const cases = [
    { name: 'without its head', change: (events: ForwardEvent[]) => events.slice(1) },
    {
      name: 'without a chunk',
      change: (events: ForwardEvent[]) => [...events.slice(0, 1), ...events.slice(2)],
    },
    { name: 'without its end', change: (events: ForwardEvent[]) => events.slice(0, -1) },
    {
      name: 'with a second head',
      change: (events: ForwardEvent[]) => [...events.slice(0, 1), ...events],
    },
    {
      name: 'of another request',
      change: (events: ForwardEvent[]) =>
        events.map((event) => create(ForwardEventSchema, { ...event, requestId: 'other' })),
    },
    {
      name: 'of an earlier attempt',
      change: (events: ForwardEvent[]) =>
        events.map((event) => create(ForwardEventSchema, { ...event, attempt: 9 })),
    },
    {
      name: 'with an event that says nothing',
      change: (events: ForwardEvent[]) => [
        ...events.slice(0, 2),
        create(ForwardEventSchema, { requestId: 'request-1', attempt: 1 }),
      ],
    },
  ];
  for (const { name, change } of cases) {
    it(`is not taken for whole ${name}`, async () => {
      const { refusal, sink } = await forwardTo({
        cancelAnswers: [false, false],
        events: async (message) => change(await answerEvents(message, ['half ', 'and half'])),
      });
      assert.equal(refusal?.outcome, 'unknown');
      assert.equal(sink.ends, 0);
    });
  }
});
