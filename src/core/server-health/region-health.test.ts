import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { serverIdAt, startServerRegion } from '../../testing/server-region';
import type { FakeClock } from '../../testing';
import { SERVER_HEALTH_EVENTS } from './events';

const INSTANCES = 8;
const SERVERS = 24;

const startRegion = (seed: number) =>
  startServerRegion({ seed, instanceCount: INSTANCES, serverCount: SERVERS });

async function msUntil(
  clock: FakeClock,
  condition: () => boolean,
  limitMs: number,
): Promise<number> {
  const startMs = clock.monotonicMs();
  while (!condition() && clock.monotonicMs() - startMs < limitMs) await clock.advanceByAsync(50);
  return clock.monotonicMs() - startMs;
}

describe('server health in a region', () => {
  // A leaving server reports it first to the instance that happens to check it. Until the others know, they keep
  // opening streams to it, which are cut when the server stops: callers lose half-written quotes.
  for (const seed of [1, 2, 3, 4, 5]) {
    it(`sends a leaving server no new work 2 s after the first instance knows (seed ${seed})`, async () => {
      const { clock, answers, usersOf } = startRegion(seed);
      await clock.advanceByAsync(3_000);
      assert.equal(usersOf(serverIdAt(5)), INSTANCES);
      answers.set(serverIdAt(5), 'draining');
      await msUntil(clock, () => usersOf(serverIdAt(5)) < INSTANCES, 5_000);
      const spreadMs = await msUntil(clock, () => usersOf(serverIdAt(5)) === 0, 5_000);
      assert.ok(spreadMs <= 2_000, `took ${spreadMs} ms`);
    });
  }

  it('sends a dead server no new work from any instance, and uses it again when it answers', async () => {
    const { clock, answers, usersOf } = startRegion(7);
    await clock.advanceByAsync(3_000);
    answers.set(serverIdAt(3), 'failed');
    await msUntil(clock, () => usersOf(serverIdAt(3)) < INSTANCES, 5_000);
    const spreadMs = await msUntil(clock, () => usersOf(serverIdAt(3)) === 0, 5_000);
    assert.ok(spreadMs <= 2_000, `took ${spreadMs} ms`);
    answers.delete(serverIdAt(3));
    await msUntil(clock, () => usersOf(serverIdAt(3)) === INSTANCES, 30_000);
    assert.equal(usersOf(serverIdAt(3)), INSTANCES);
  });

  // The network card of one instance fails, so every check it makes fails. If its peers trusted its reports, they
  // would stop using healthy servers and refuse their callers.
  it('ignores the failures of an instance that finds most of its servers dead at once', async () => {
    const { clock, cutOff, instances, usersOf } = startRegion(11);
    await clock.advanceByAsync(3_000);
    cutOff.add(0);
    await clock.advanceByAsync(10_000);
    const users = Array.from({ length: SERVERS }, (_unused, index) => usersOf(serverIdAt(index)));
    assert.ok(Math.min(...users) >= INSTANCES - 1, `users ${users.join(' ')}`);
    const [{ logger }] = instances as [(typeof instances)[number]];
    assert.equal(logger.of(SERVER_HEALTH_EVENTS.checksDoubted).length, 1);
  });

  // Operators publish a configuration while a server is out for maintenance. If an instance mistook its own
  // statement for that of a peer, it would not use the server after its return until the statement expires.
  it('does not mistake its own statements for those of peers when a new configuration takes effect', async () => {
    const { clock, answers, usersOf, publish } = startRegion(17);
    await clock.advanceByAsync(3_000);
    answers.set(serverIdAt(4), 'draining');
    await msUntil(clock, () => usersOf(serverIdAt(4)) === 0, 5_000);
    publish(2);
    answers.delete(serverIdAt(4));
    const backMs = await msUntil(clock, () => usersOf(serverIdAt(4)) === INSTANCES, 30_000);
    assert.ok(backMs <= 5_000, `took ${backMs} ms`);
  });

  // If every instance checked every server, the number of checks would grow with servers times instances, until
  // servers spend their time on answering them.
  it('checks each server as often as if there were two instances, however many there are', async () => {
    const { clock, probeCount } = startRegion(13);
    await clock.advanceByAsync(2_000);
    const before = probeCount();
    await clock.advanceByAsync(10_000);
    const perServerAndSecond = (probeCount() - before) / SERVERS / 10;
    assert.ok(perServerAndSecond <= 2.05, `${perServerAndSecond} checks`);
    assert.ok(perServerAndSecond >= 1.5, `${perServerAndSecond} checks`);
  });
});
