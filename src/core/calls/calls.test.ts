import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { createSystemClock } from '../../runtime/system-clock';
import { createMemoryLogger } from '../../testing';
import { CALL_EVENTS, openCallListener, openCallClient } from '.';
import type { CallHandler } from '.';

const clock = createSystemClock();
const inTwoSeconds = () => clock.monotonicMs() + 2_000;

async function withListener(
  handler: CallHandler,
  run: (address: string, logger: ReturnType<typeof createMemoryLogger>) => Promise<void>,
): Promise<void> {
  const logger = createMemoryLogger();
  await using listener = await openCallListener({
    host: '127.0.0.1',
    port: 0,
    logger,
    handlers: new Map([['/ask', handler]]),
  });
  await run(`127.0.0.1:${listener.port}`, logger);
}

describe('calls between instances', () => {
  it('transmit text and query, and return status and text', () =>
    withListener(
      ({ text, query }) => ({ status: 201, text: `${text} ${query.get('after')}` }),
      async (address) => {
        using callClient = openCallClient(clock);
        const call = {
          method: 'POST',
          path: '/ask?after=7',
          text: 'news',
          answerByMs: inTwoSeconds(),
        } as const;
        assert.deepEqual(await callClient.call(address, call), { status: 201, text: 'news 7' });
        const unknown = { method: 'GET', path: '/else', answerByMs: inTwoSeconds() } as const;
        assert.equal((await callClient.call(address, unknown)).status, 404);
      },
    ));

  // A message of another instance cannot be processed. It must not end the process, and the sender must not wait in
  // vain.
  it('are answered and logged if the handler fails', () =>
    withListener(
      () => {
        throw new Error('cannot be read');
      },
      async (address, logger) => {
        using callClient = openCallClient(clock);
        const call = { method: 'GET', path: '/ask', answerByMs: inTwoSeconds() } as const;
        assert.equal((await callClient.call(address, call)).status, 500);
        assert.equal(logger.of(CALL_EVENTS.failed)[0]?.fields.reason, 'cannot be read');
      },
    ));

  it('notify the handler when nobody waits for the answer any more', () => {
    let notifyGone = () => {};
    const gone = new Promise<void>((resolve) => {
      notifyGone = resolve;
    });
    const handler: CallHandler = async ({ onDisconnected }) => {
      onDisconnected(notifyGone);
      await gone;
      return { status: 200, text: '' };
    };
    return withListener(handler, async (address) => {
      using callClient = openCallClient(clock);
      const aborting = new AbortController();
      const call = { method: 'GET', path: '/ask', answerByMs: inTwoSeconds() } as const;
      const pendingCall = callClient.call(address, call, aborting.signal);
      setTimeout(() => aborting.abort(), 50);
      await assert.rejects(pendingCall);
      await gone;
    });
  });

  // The other machine has lost power or is frozen: connections to it are established and nothing answers.
  it('end at their deadline if nobody answers', async () => {
    const silent = createServer(() => {});
    await new Promise<void>((resolve) => {
      silent.listen(0, '127.0.0.1', resolve);
    });
    const { port } = silent.address() as AddressInfo;
    using callClient = openCallClient(clock);
    const call = { method: 'GET', path: '/ask', answerByMs: clock.monotonicMs() + 50 } as const;
    await assert.rejects(callClient.call(`127.0.0.1:${port}`, call));
    silent.close();
  });
});
