import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { chooseWatcher } from './choose-watcher';
import type { RelayInstance } from './types';

function createDomain(name: string, count: number): readonly RelayInstance[] {
  return Array.from({ length: count }, (_, index) => ({
    instanceId: `${name}-${index}`,
    failureDomain: name,
    address: `${name}-${index}:1`,
  }));
}

/**
 * Returns the instances that watch the source, if each knows all others but skips those for which `isBackedOff` holds.
 */
function watcherIds(
  all: readonly RelayInstance[],
  isBackedOff: (instanceId: string) => boolean = () => false,
): readonly string[] {
  return all
    .filter((self) => {
      const others = all.filter((other) => other !== self);
      return chooseWatcher({ self, others, isBackedOff }) === undefined;
    })
    .map(({ instanceId }) => instanceId);
}

describe('the choice of a watcher', () => {
  for (const count of [1, 3, 30, 300]) {
    it(`selects one of ${count} instances of a domain, the same for all`, () => {
      const all = [...createDomain('a', count), ...createDomain('b', count)];
      assert.equal(watcherIds(all).length, 2);
      const followed = new Set(
        createDomain('a', count).map(
          (self) =>
            chooseWatcher({
              self,
              others: all.filter(({ instanceId }) => instanceId !== self.instanceId),
              isBackedOff: () => false,
            })?.instanceId ?? self.instanceId,
        ),
      );
      assert.equal(followed.size, 1);
    });
  }

  // The watcher of a domain stops answering, and all have noticed. Exactly one instance takes its place; if all did,
  // the source would be called by the whole fleet just when something is wrong.
  it('selects one other instance if the first is backed off', () => {
    const all = createDomain('a', 30);
    const [first] = watcherIds(all);
    const next = watcherIds(all, (id) => id === first).filter((id) => id !== first);
    assert.equal(next.length, 1);
  });

  it('makes an instance watch the source if all others are backed off', () => {
    const [self, ...others] = createDomain('a', 5);
    assert.ok(self !== undefined);
    assert.equal(chooseWatcher({ self, others, isBackedOff: () => true }), undefined);
  });
});
