import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createFakeClock, createMemoryLogger } from '../../testing';
import type { Position, PublishedState, StateSource } from '../state-sync';
import type { WatcherClient } from './watcher-client';
import { createRelayedSource } from './create-relayed-source';

const state = (position: Position): PublishedState => ({ position, items: [], unreadable: [] });

/**
 * Returns the position that a follower has after reading the source at era 2 and then reading again from its watcher.
 */
async function rereadPosition(watcherPosition: Position): Promise<Position> {
  const { signal } = new AbortController();
  const source: StateSource = {
    readAll: async () => state({ era: 2, revision: 10 }),
    watch: async () => ({ kind: 'historyGone' }),
  };
  const watchers: WatcherClient = {
    watch: async () => ({ kind: 'answered', value: { kind: 'historyGone' } }),
    readAll: async () => ({ kind: 'answered', value: state(watcherPosition) }),
  };
  // At least one of these ranks before the follower.
  const others = Array.from({ length: 20 }, (_, index) => ({
    instanceId: `a-${index}`,
    failureDomain: 'north-a',
    address: `a-${index}:1`,
  }));
  const relayed = createRelayedSource({
    clock: createFakeClock(),
    logger: createMemoryLogger(),
    source,
    watchers,
    self: { instanceId: 'follower', failureDomain: 'north-a' },
    others: () => others,
  });
  await relayed.readAll(signal);
  return (await relayed.readAll(signal)).position;
}

/** Guards against a follower that adopts state from before a restore of the source from a watcher that is behind. */
describe('a follower that reads the complete state again', () => {
  const cases = [
    {
      name: 'adopts the state of its watcher of the same era',
      has: { era: 2, revision: 12 },
      revision: 12,
    },
    {
      name: 'adopts the state of its watcher of a later era',
      has: { era: 3, revision: 4 },
      revision: 4,
    },
    {
      name: 'reads the source if its watcher is an era behind',
      has: { era: 1, revision: 50 },
      revision: 10,
    },
  ];
  for (const { name, has, revision } of cases) {
    it(name, async () => {
      assert.equal((await rereadPosition(has)).revision, revision);
    });
  }
});
