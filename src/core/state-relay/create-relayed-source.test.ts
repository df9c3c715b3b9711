import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createFakeClock, createMemoryLogger } from '../../testing';
import type { Position, PublishedState, StateSource } from '../state-sync';
import type { WatcherClient } from './ask-watcher';
import { createRelayedSource } from './create-relayed-source';

const state = (position: Position): PublishedState => ({ position, items: [], unreadable: [] });

/** A follower that has read the source at era 2 and reads again while its watcher holds `watcherHas`. */
async function readAgain(watcherHas: Position): Promise<Position> {
  const { signal } = new AbortController();
  const source: StateSource = {
    readAll: async () => state({ era: 2, revision: 10 }),
    watch: async () => ({ kind: 'historyGone' }),
  };
  const watchers: WatcherClient = {
    watch: async () => ({ kind: 'answered', value: { kind: 'historyGone' } }),
    readAll: async () => ({ kind: 'answered', value: state(watcherHas) }),
  };
  // One of these comes before the follower in the order, whichever it is.
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

/** Guards against a follower that takes over what was before a return of the source from a watcher that is behind. */
describe('a follower that reads everything again', () => {
  const cases = [
    {
      name: 'takes what its watcher has of the same era',
      has: { era: 2, revision: 12 },
      revision: 12,
    },
    {
      name: 'takes what its watcher has of a later era',
      has: { era: 3, revision: 4 },
      revision: 4,
    },
    {
      name: 'reads the source where its watcher is an era behind',
      has: { era: 1, revision: 50 },
      revision: 10,
    },
  ];
  for (const { name, has, revision } of cases) {
    it(name, async () => {
      assert.equal((await readAgain(has)).revision, revision);
    });
  }
});
