import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createFakeClock } from '../../testing';
import { CHANGES_PATH, answerWatches } from './answer-watches';
import { createChangeFeed } from './change-feed';

/** What an instance that has read everything at era 2 and revision 10 answers to a watch. */
async function answerTo(query: string): Promise<number | undefined> {
  const clock = createFakeClock();
  const feed = createChangeFeed();
  feed.restart({ era: 2, revision: 10 });
  const handlers = answerWatches({
    clock,
    feed,
    freshUntilMs: () => Infinity,
    writeState: () => '{}',
  });
  const call = { query: new URLSearchParams(query), text: '', onGone() {} };
  return (await handlers.get(CHANGES_PATH)?.(call))?.status;
}

/** Guards against followers and watchers that compare revisions of two eras. */
describe('a watch at another instance', () => {
  const cases = [
    { name: 'of the same position', query: 'era=2&after=10&waitMs=0', status: 200 },
    { name: 'of an earlier era', query: 'era=1&after=40&waitMs=0', status: 410 },
    { name: 'of a later era than is known there', query: 'era=3&after=5&waitMs=0', status: 503 },
    { name: 'of a release before, which states no era', query: 'after=10&waitMs=0', status: 400 },
  ];
  for (const { name, query, status } of cases) {
    it(`${name} is answered ${status}`, async () => {
      assert.equal(await answerTo(query), status);
    });
  }
});
