import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { Position, PublishedChange, PublishedChanges } from '../state-sync';
import { createChangeFeed } from './change-feed';

const gone = (revision: number): PublishedChange => ({
  kind: 'serverGone',
  serverId: `s-${revision}`,
  revision,
});

const at = (revision: number, era = 1): Position => ({ era, revision });

const news = (revision: number, ...revisions: number[]): PublishedChanges => ({
  kind: 'changes',
  position: at(revision),
  changes: revisions.map(gone),
});

/** Revisions that a follower is told after the one it has; undefined where it has to read everything again. */
function told(feed: ReturnType<typeof createChangeFeed>, after: number): number[] | undefined {
  const answer = feed.since(at(after));
  return answer.kind === 'changes' ? answer.changes.map(({ revision }) => revision) : undefined;
}

describe('the feed of changes', () => {
  it('tells what is newer than the revision that a follower has, also in the midst of an answer', () => {
    const feed = createChangeFeed();
    feed.restart(at(10));
    feed.add(at(10), news(15, 11, 13, 15));
    assert.deepEqual(told(feed, 10), [11, 13, 15]);
    assert.deepEqual(told(feed, 13), [15]);
    assert.deepEqual(told(feed, 15), []);
    assert.deepEqual(told(feed, 99), []);
  });

  // A follower that missed a removal and is told that nothing is new goes on sending to a server that has left.
  const gaps: { name: string; prepare: (feed: ReturnType<typeof createChangeFeed>) => void }[] = [
    { name: 'nothing was read', prepare: () => {} },
    { name: 'everything was read later', prepare: (feed) => feed.restart(at(20)) },
    {
      name: 'what came leaves a gap',
      prepare(feed) {
        feed.restart(at(5));
        feed.add(at(12), news(13, 13));
      },
    },
    {
      name: 'more has come than is kept',
      prepare(feed) {
        feed.restart(at(5));
        const many = Array.from({ length: 5_000 }, (_, index) => 6 + index);
        feed.add(at(5), news(5_005, ...many));
      },
    },
  ];
  for (const { name, prepare } of gaps) {
    it(`has a follower read everything again where ${name}`, () => {
      const feed = createChangeFeed();
      prepare(feed);
      assert.equal(told(feed, 5), undefined);
    });
  }

  // The source has come back from an older copy. Its revisions are lower for a while, and stand for other changes.
  it('has a follower of an earlier era read everything again, whatever its revision', () => {
    const feed = createChangeFeed();
    feed.restart(at(30));
    feed.restart(at(10, 2));
    feed.add(at(10, 2), { kind: 'changes', position: at(12, 2), changes: [gone(11), gone(12)] });
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

  it('adds nothing twice where two answers overlap', () => {
    const feed = createChangeFeed();
    feed.restart(at(10));
    feed.add(at(10), news(12, 11, 12));
    feed.add(at(10), news(13, 11, 12, 13));
    assert.deepEqual(told(feed, 10), [11, 12, 13]);
  });

  it('wakes those who wait for news, and not for an answer without', () => {
    const feed = createChangeFeed();
    let woken = 0;
    feed.restart(at(10));
    const listening = feed.onNews(() => {
      woken += 1;
    });
    feed.add(at(10), news(11));
    assert.equal(woken, 0);
    feed.add(at(11), news(12, 12));
    assert.equal(woken, 1);
    listening[Symbol.dispose]();
    feed.add(at(12), news(13, 13));
    assert.equal(woken, 1);
  });
});
