import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createFakeClock } from '../../testing';
import { CHANGES_PATH, createWatchHandlers } from './watch-handlers';
import { createChangeFeed } from './change-feed';

/** Returns the status with which an instance that has read the state at era 2 and revision 10 answers a watch. */
async function watchStatus(query: string): Promise<number | undefined> {
  const clock = createFakeClock();
  const feed = createChangeFeed();
  feed.restart({ era: 2, revision: 10 });
  const handlers = createWatchHandlers({
    clock,
    feed,
    freshUntilMs: () => Infinity,
    serializeState: () => '{}',
  });
  const call = { query: new URLSearchParams(query), text: '', onDisconnected() {} };
  return (await handlers.get(CHANGES_PATH)?.(call))?.status;
}

/** Guards against comparing revisions of two eras. */
describe('a watch of another instance', () => {
  const cases = [
    { name: 'from the same position', query: 'era=2&after=10&waitMs=0', status: 200 },
    { name: 'from an earlier era', query: 'era=1&after=40&waitMs=0', status: 410 },
    {
      name: 'from a later era than the watched instance knows',
      query: 'era=3&after=5&waitMs=0',
      status: 503,
    },
    {
      name: 'from an earlier release, which sends no era',
      query: 'after=10&waitMs=0',
      status: 400,
    },
  ];
  for (const { name, query, status } of cases) {
    it(`${name} is answered ${status}`, async () => {
      assert.equal(await watchStatus(query), status);
    });
  }
});
