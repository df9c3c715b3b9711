import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { createSystemClock } from '../../runtime/system-clock';
import { createMemoryLogger } from '../../testing';
import { CALL_EVENTS, openCallListener, openCaller } from '.';
import type { CallHandler } from '.';

const clock = createSystemClock();
const soon = () => clock.monotonicMs() + 2_000;

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
  it('bring text and query there, and status and text back', () =>
    withListener(
      ({ text, query }) => ({ status: 201, text: `${text} ${query.get('after')}` }),
      async (address) => {
        using caller = openCaller(clock);
        const call = {
          method: 'POST',
          path: '/ask?after=7',
          text: 'news',
          answerByMs: soon(),
        } as const;
        assert.deepEqual(await caller.call(address, call), { status: 201, text: 'news 7' });
        const unknown = { method: 'GET', path: '/else', answerByMs: soon() } as const;
        assert.equal((await caller.call(address, unknown)).status, 404);
      },
    ));

  // One message of another instance cannot be worked on. It must not end the process, and whoever asked must not wait.
  it('are answered and logged where they fail', () =>
    withListener(
      () => {
        throw new Error('cannot be read');
      },
      async (address, logger) => {
        using caller = openCaller(clock);
        const call = { method: 'GET', path: '/ask', answerByMs: soon() } as const;
        assert.equal((await caller.call(address, call)).status, 500);
        assert.equal(logger.of(CALL_EVENTS.failed)[0]?.fields.reason, 'cannot be read');
      },
    ));

  it('tell whoever answers that nobody waits any more', () => {
    let tellGone = () => {};
    const isGone = new Promise<void>((resolve) => {
      tellGone = resolve;
    });
    const handler: CallHandler = async ({ onGone }) => {
      onGone(tellGone);
      await isGone;
      return { status: 200, text: '' };
    };
    return withListener(handler, async (address) => {
      using caller = openCaller(clock);
      const givingUp = new AbortController();
      const call = { method: 'GET', path: '/ask', answerByMs: soon() } as const;
      const asked = caller.call(address, call, givingUp.signal);
      setTimeout(() => givingUp.abort(), 50);
      await assert.rejects(asked);
      await isGone;
    });
  });

  // The other machine has lost its power, or stands still: connections to it are made and nothing answers.
  it('end at their time where nobody answers', async () => {
    const silent = createServer(() => {});
    await new Promise<void>((resolve) => {
      silent.listen(0, '127.0.0.1', resolve);
    });
    const { port } = silent.address() as AddressInfo;
    using caller = openCaller(clock);
    const call = { method: 'GET', path: '/ask', answerByMs: clock.monotonicMs() + 50 } as const;
    await assert.rejects(caller.call(`127.0.0.1:${port}`, call));
    silent.close();
  });
});
