import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { chooseWatcher } from './choose-watcher';
import type { RelayInstance } from './types';

function domain(name: string, count: number): readonly RelayInstance[] {
  return Array.from({ length: count }, (_, index) => ({
    instanceId: `${name}-${index}`,
    failureDomain: name,
    address: `${name}-${index}:1`,
  }));
}

/** Instances that watch for themselves, where all know all but those that `isDoubted` names. */
function watchers(
  all: readonly RelayInstance[],
  isDoubted: (instanceId: string) => boolean = () => false,
): readonly string[] {
  return all
    .filter((self) => {
      const others = all.filter((other) => other !== self);
      return chooseWatcher({ self, others, isDoubted }) === undefined;
    })
    .map(({ instanceId }) => instanceId);
}

describe('the choice of who watches', () => {
  for (const count of [1, 3, 30, 300]) {
    it(`names one of ${count} instances of a domain, the same for all`, () => {
      const all = [...domain('a', count), ...domain('b', count)];
      assert.equal(watchers(all).length, 2);
      const followed = new Set(
        domain('a', count).map(
          (self) =>
            chooseWatcher({
              self,
              others: all.filter(({ instanceId }) => instanceId !== self.instanceId),
              isDoubted: () => false,
            })?.instanceId ?? self.instanceId,
        ),
      );
      assert.equal(followed.size, 1);
    });
  }

  // The watcher of a domain has fallen silent, and all have noticed. One instance takes its place; were it all of them,
  // the source would be called by the whole fleet just when something is wrong.
  it('names one other instance where the first is doubted', () => {
    const all = domain('a', 30);
    const [first] = watchers(all);
    const next = watchers(all, (id) => id === first).filter((id) => id !== first);
    assert.equal(next.length, 1);
  });

  it('lets an instance watch that doubts all others', () => {
    const [self, ...others] = domain('a', 5);
    assert.ok(self !== undefined);
    assert.equal(chooseWatcher({ self, others, isDoubted: () => true }), undefined);
  });
});
