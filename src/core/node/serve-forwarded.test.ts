import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { ForwardRequestSchema } from '../../gen/forward_pb';
import { createFakeClock } from '../../testing/fake-clock';
import { createMemorySink, sampleConfiguration } from '../../testing/sample-request';
import type { ConfigurationStore } from '../configuration';
import { REFUSALS, RefusalError } from '../refusals';
import type { GatewayRequest } from '../serving';
import { createForwardedHandlers } from './serve-forwarded';

const configuration = { current: () => sampleConfiguration() } as ConfigurationStore;

async function outcomeOf(
  serve: (request: GatewayRequest) => Promise<void>,
  message: { ticket?: string; callerId?: string } = {},
): Promise<string> {
  const handlers = createForwardedHandlers({
    clock: createFakeClock(),
    incarnation: 2,
    configuration,
    serving: { serve },
    serveNonRepeatable: (request) => serve(request),
  });
  const forwarded = create(ForwardRequestSchema, {
    requestId: 'request-1',
    attempt: 1,
    fromInstanceId: 'rundu-a',
    fromIncarnation: 1n,
    toIncarnation: 2n,
    serial: 1n,
    callerId: 'dealer',
    service: 'orders',
    method: 'POST',
    path: '/place',
    timeLeftMs: 1_000,
    ...message,
  });
  try {
    await handlers.serveForwarded(forwarded, createMemorySink(), new AbortController().signal);
    return 'answered';
  } catch (error) {
    assert.ok(error instanceof RefusalError);
    return error.outcome;
  }
}

const notConnected = () =>
  new RefusalError(REFUSALS.serverFailed, {
    detail: 'no connection',
    step: 'test',
    evidence: { kind: 'neverSent' },
  });

describe('what a peer is told of its attempt', () => {
  it('does not rest on the last try alone', async () => {
    // The first server took the order and fell silent; the second could not be reached. Told "not run", the
    // peer's caller would place the order again.
    const outcome = await outcomeOf(async ({ guard }) => {
      guard?.beginSend();
      guard?.sendFailed({ kind: 'lostAfterSending', cause: 'timeout' });
      throw notConnected();
    });
    assert.equal(outcome, 'unknown');
  });

  it('is "not run" when every try has proved it', async () => {
    const outcome = await outcomeOf(async ({ guard }) => {
      guard?.beginSend();
      guard?.sendFailed({ kind: 'refusedByServer', declaredNotRun: true });
      throw notConnected();
    });
    assert.equal(outcome, 'notRun');
  });

  it('is "not run" when its caller is not known here', async () => {
    const outcome = await outcomeOf(async () => {}, { callerId: 'nobody' });
    assert.equal(outcome, 'notRun');
  });

  it('says nothing about a ticket that was not looked up', async () => {
    // The owner of a ticket has just lost the caller from its configuration. An earlier presentation of the
    // same ticket may have run; only the ticket's record could say.
    const outcome = await outcomeOf(async () => {}, { callerId: 'nobody', ticket: 'a ticket' });
    assert.equal(outcome, 'unknown');
  });
});
