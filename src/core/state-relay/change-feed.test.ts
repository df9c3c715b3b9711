import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { Position, PublishedChange, PublishedChanges } from '../state-sync';
import { createChangeFeed } from './change-feed';

const serverGone = (revision: number): PublishedChange => ({
  kind: 'serverGone',
  serverId: `s-${revision}`,
  revision,
});

const at = (revision: number, era = 1): Position => ({ era, revision });

const update = (revision: number, ...revisions: number[]): PublishedChanges => ({
  kind: 'changes',
  position: at(revision),
  changes: revisions.map(serverGone),
});

/** Returns the revisions after the one that a follower has; undefined if it has to read the complete state again. */
function revisionsAfter(
  feed: ReturnType<typeof createChangeFeed>,
  after: number,
): number[] | undefined {
  const answer = feed.since(at(after));
  return answer.kind === 'changes' ? answer.changes.map(({ revision }) => revision) : undefined;
}

describe('the feed of changes', () => {
  it('returns the changes after the revision of a follower, also within a single answer', () => {
    const feed = createChangeFeed();
    feed.restart(at(10));
    feed.add(at(10), update(15, 11, 13, 15));
    assert.deepEqual(revisionsAfter(feed, 10), [11, 13, 15]);
    assert.deepEqual(revisionsAfter(feed, 13), [15]);
    assert.deepEqual(revisionsAfter(feed, 15), []);
    assert.deepEqual(revisionsAfter(feed, 99), []);
  });

  // A follower that missed a removal and gets an empty update would continue to send to a server that has left.
  const gaps: { name: string; prepare: (feed: ReturnType<typeof createChangeFeed>) => void }[] = [
    { name: 'nothing was read yet', prepare: () => {} },
    { name: 'the state was read at a later revision', prepare: (feed) => feed.restart(at(20)) },
    {
      name: 'the new changes leave a gap',
      prepare(feed) {
        feed.restart(at(5));
        feed.add(at(12), update(13, 13));
      },
    },
    {
      name: 'more changes came than are kept',
      prepare(feed) {
        feed.restart(at(5));
        const many = Array.from({ length: 5_000 }, (_, index) => 6 + index);
        feed.add(at(5), update(5_005, ...many));
      },
    },
  ];
  for (const { name, prepare } of gaps) {
    it(`makes a follower read the complete state again if ${name}`, () => {
      const feed = createChangeFeed();
      prepare(feed);
      assert.equal(revisionsAfter(feed, 5), undefined);
    });
  }

  // The source was restored from an older backup. Its revisions are lower for a while, and belong to other changes.
  it('makes a follower of an earlier era read the complete state again, whatever its revision', () => {
    const feed = createChangeFeed();
    feed.restart(at(30));
    feed.restart(at(10, 2));
    feed.add(at(10, 2), {
      kind: 'changes',
      position: at(12, 2),
      changes: [serverGone(11), serverGone(12)],
    });
    for (const revision of [5, 10, 12, 30]) {
      assert.equal(feed.since(at(revision, 1)).kind, 'historyGone', `revision ${revision}`);
    }
    const later = feed.since(at(10, 2));
    assert.ok(later.kind === 'changes');
    assert.deepEqual(
      later.changes.map(({ revision }) => revision),
      [11, 12],
    );
  });

  it('adds no change twice if two answers overlap', () => {
    const feed = createChangeFeed();
    feed.restart(at(10));
    feed.add(at(10), update(12, 11, 12));
    feed.add(at(10), update(13, 11, 12, 13));
    assert.deepEqual(revisionsAfter(feed, 10), [11, 12, 13]);
  });

  it('wakes waiting listeners for changes, and not for an empty answer', () => {
    const feed = createChangeFeed();
    let notifications = 0;
    feed.restart(at(10));
    const subscription = feed.onChanges(() => {
      notifications += 1;
    });
    feed.add(at(10), update(11));
    assert.equal(notifications, 0);
    feed.add(at(11), update(12, 12));
    assert.equal(notifications, 1);
    subscription[Symbol.dispose]();
    feed.add(at(12), update(13, 13));
    assert.equal(notifications, 1);
  });
});
