import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { ServerSender } from '../backends';
import { REFUSALS, RefusalError } from '../refusals';
import type { GatewayRequest, ResponseSink } from '../serving';
import { createFakeClock, createMemoryLogger } from '../../testing';
import { REFRESH_TIMEOUT_MS, createPauseGuard } from './create-pause-guard';
import type { Refresh } from './create-pause-guard';
import { PAUSE_EVENTS } from './events';
import { guardSender } from './guard-sends';
import { noticedPauseMs } from './notice-pause';
import { createPeerRefresh } from './refresh-from-peers';

const PAUSE_MS = 30_000;

function startGuard(refresh: Refresh) {
  const clock = createFakeClock();
  const logger = createMemoryLogger();
  const guard = createPauseGuard({ clock, logger, refresh });
  guard.start();
  return { clock, logger, guard };
}

describe('noticing a pause', () => {
  const cases = [
    { name: 'no time passed', monotonicMs: 0, unixMs: 0, expected: undefined },
    { name: 'a late timer', monotonicMs: 900, unixMs: 900, expected: undefined },
    { name: 'a stopped process', monotonicMs: 30_000, unixMs: 30_000, expected: 30_000 },
    { name: 'a suspended machine', monotonicMs: 250, unixMs: 30_000, expected: 30_000 },
    { name: 'a wall clock set back', monotonicMs: 250, unixMs: -9_000, expected: undefined },
  ];
  for (const { name, monotonicMs, unixMs, expected } of cases) {
    it(name, () => {
      const before = { monotonicMs: 1_000, unixMs: 5_000 };
      const now = { monotonicMs: 1_000 + monotonicMs, unixMs: 5_000 + unixMs };
      assert.equal(noticedPauseMs(before, now), expected);
    });
  }
});

describe('the pause guard', () => {
  it('is fresh while its looks come in time', async () => {
    const { clock, logger, guard } = startGuard(async () => true);
    await clock.advanceByAsync(10_000);
    assert.equal(guard.isStale(), false);
    assert.equal(guard.pauseCount(), 0);
    assert.equal(logger.lines.length, 0);
  });

  // The machine is frozen for half a minute. On waking, the first thing to run may be a request that waited, long
  // before the timer that watches for pauses.
  it('knows of a pause before any of its timers has run', async () => {
    const { clock, guard } = startGuard(async () => true);
    await clock.advanceByAsync(1_000);
    clock.jumpBy(PAUSE_MS);
    assert.equal(guard.isStale(), true);
    assert.equal(await guard.requireFresh(), 'fresh');
    assert.equal(guard.isStale(), false);
    assert.equal(guard.pauseCount(), 1);
  });

  it('refreshes once for all that wait, and again when it is paused meanwhile', async () => {
    const refreshes: (() => void)[] = [];
    const { clock, guard, logger } = startGuard(
      () =>
        new Promise((resolve) => {
          refreshes.push(() => resolve(true));
        }),
    );
    await clock.advanceByAsync(500);
    clock.jumpBy(PAUSE_MS);
    const waiting = [guard.requireFresh(), guard.requireFresh()];
    assert.equal(refreshes.length, 1);
    clock.jumpBy(PAUSE_MS);
    refreshes[0]?.();
    await clock.advanceByAsync(0);
    assert.equal(refreshes.length, 2);
    refreshes[1]?.();
    assert.deepEqual(await Promise.all(waiting), ['fresh', 'fresh']);
    assert.equal(logger.of(PAUSE_EVENTS.refreshed).length, 1);
  });

  // The network of the whole region broke while the machine was frozen. Its callers must still be served.
  it('goes on unconfirmed when nobody can be reached in time', async () => {
    const { clock, guard, logger } = startGuard(
      (signal) =>
        new Promise((resolve) => {
          signal.addEventListener('abort', () => resolve(false));
        }),
    );
    await clock.advanceByAsync(500);
    clock.jumpBy(PAUSE_MS);
    const waiting = guard.requireFresh();
    await clock.advanceByAsync(REFRESH_TIMEOUT_MS);
    assert.equal(await waiting, 'unconfirmed');
    assert.equal(await guard.requireFresh(), 'unconfirmed');
    assert.equal(logger.of(PAUSE_EVENTS.unconfirmed).length, 1);
  });

  it('goes on asking after that, and is fresh once a peer answers', async () => {
    let isReachable = false;
    const { clock, guard, logger } = startGuard(
      (signal) =>
        new Promise((resolve) => {
          if (isReachable) resolve(true);
          signal.addEventListener('abort', () => resolve(false));
        }),
    );
    await clock.advanceByAsync(500);
    clock.jumpBy(PAUSE_MS);
    void guard.requireFresh();
    await clock.advanceByAsync(10_000);
    assert.equal(await guard.requireFresh(), 'unconfirmed');
    isReachable = true;
    await clock.advanceByAsync(2 * REFRESH_TIMEOUT_MS);
    assert.equal(await guard.requireFresh(), 'fresh');
    assert.equal(guard.pauseCount(), 1);
    assert.equal(logger.of(PAUSE_EVENTS.unconfirmed).length, 1);
  });
});

describe('refreshing from peers', () => {
  const start = (peerCount: number) => {
    const clock = createFakeClock();
    const listeners = new Set<(record: { configurationVersion: number }) => void>();
    let version = 4;
    let prompts = 0;
    const refresh = createPeerRefresh({
      clock,
      membership: {
        usablePeers: () => Array.from({ length: peerCount }, () => ({}) as never),
        exchangeNow() {
          prompts += 1;
        },
        onContact(listener) {
          listeners.add(listener as never);
          return { [Symbol.dispose]: () => listeners.delete(listener as never) };
        },
      },
      configuration: { current: () => ({ version }) as never },
    });
    const contact = (configurationVersion: number) =>
      listeners.forEach((listener) => listener({ configurationVersion }));
    return {
      clock,
      refresh,
      contact,
      promptCount: () => prompts,
      setVersion(next: number) {
        version = next;
      },
    };
  };

  it('waits until the configuration is no older than that of the peer that answered', async () => {
    const { clock, refresh, contact, promptCount, setVersion } = start(3);
    let result: boolean | undefined;
    void refresh(new AbortController().signal).then((reached) => {
      result = reached;
    });
    await clock.advanceByAsync(150);
    assert.equal(promptCount(), 1);
    contact(5);
    await clock.advanceByAsync(500);
    assert.equal(result, undefined);
    setVersion(5);
    await clock.advanceByAsync(50);
    assert.equal(result, true);
  });

  // What peers sent while this process stood still is read right after it wakes, and is as old as the pause.
  it('does not take for an answer what was waiting in the sockets', async () => {
    const { clock, refresh, contact } = start(3);
    let isDone = false;
    void refresh(new AbortController().signal).then(() => {
      isDone = true;
    });
    contact(4);
    await clock.advanceByAsync(1_000);
    assert.equal(isDone, false);
    contact(4);
    await clock.advanceByAsync(50);
    assert.equal(isDone, true);
  });
});

describe('a send that a pause has overtaken', () => {
  const request = { requestId: 'request-1' } as GatewayRequest;
  const sink = {} as ResponseSink;
  const target = {
    serverId: 'engine-1',
    address: '10.0.0.1:80',
    timeLeftMs: 50_000,
    signal: new AbortController().signal,
    lastCheck() {},
  };

  interface Setting {
    readonly paused: boolean;
    readonly barred?: boolean;
    readonly left?: boolean;
    /** Stands still again while the connection is made. */
    readonly pausedConnecting?: boolean;
  }

  const send = async (setting: Setting) => {
    const { clock, guard } = startGuard(async () => true);
    const sent: number[] = [];
    const sender: ServerSender = {
      async send({ timeLeftMs, lastCheck }) {
        if (setting.pausedConnecting === true) clock.jumpBy(PAUSE_MS);
        lastCheck();
        sent.push(timeLeftMs);
      },
      async [Symbol.asyncDispose]() {
        await guard[Symbol.asyncDispose]();
      },
    };
    const guarded = guardSender(sender, {
      pauses: guard,
      availability: { takesNewWork: () => setting.left !== true },
      check() {
        if (setting.barred !== true) return { timeLeftMs: 20_000 };
        throw new RefusalError(REFUSALS.regionNotAllowed, {
          detail: 'The data may be here no longer.',
          step: 'check-residency',
          evidence: { kind: 'neverSent' },
        });
      },
    });
    await clock.advanceByAsync(500);
    if (setting.paused) clock.jumpBy(PAUSE_MS);
    await guarded.send(target, request, sink);
    return sent;
  };

  it('goes out as it is when there was no pause', async () => {
    assert.deepEqual(await send({ paused: false, barred: true, left: true }), [50_000]);
  });

  it('goes out with the time that is left after the refresh', async () => {
    assert.deepEqual(await send({ paused: true }), [20_000]);
  });

  it('does not go out after a pause while its connection was made', async () => {
    const setting = { paused: false, pausedConnecting: true };
    await assert.rejects(send(setting), (error: RefusalError) => error.outcome === 'notRun');
  });

  // While the instance stood still its operators barred the caller's data from the region, or the server left.
  // The caller must read that nothing ran, and nothing may run.
  for (const change of ['barred', 'left'] as const) {
    it(`is refused as not run when meanwhile ${change}`, async () => {
      const setting = { paused: true, barred: change === 'barred', left: change === 'left' };
      await assert.rejects(send(setting), (error: RefusalError) => error.outcome === 'notRun');
    });
  }
});
