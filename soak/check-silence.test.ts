import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { checkSilence } from './cut-in-silence';
import type { SilenceTally } from './cut-in-silence';

const KEPT: SilenceTally = {
  stood: 0,
  cut: [],
  resumable: { count: 200, answered: 190 },
  others: { count: 100, answered: 95 },
  silenced: { count: 0, answered: 0, missing: [] },
};

// With p the share of all streams that are served, 3 standard deviations of the number of resumable ones are
// 3 * 200 * sqrt(p * (1 - p) * (1 / 200 + 1 / 100)): 22.0 streams where 175 of 200 and 95 of 100 are served.
const SHARE_CASES: readonly (Partial<SilenceTally> & {
  readonly name: string;
  readonly broken: readonly string[];
})[] = [
  { name: 'streams of both kinds served alike', broken: [] },
  {
    name: 'resumable streams served more often',
    resumable: { count: 200, answered: 200 },
    broken: [],
  },
  {
    name: 'resumable streams served less often by chance',
    resumable: { count: 200, answered: 175 },
    broken: [],
  },
  {
    name: 'resumable streams served less often than by chance',
    resumable: { count: 200, answered: 160 },
    broken: ['resumableServedLess'],
  },
  {
    name: 'few resumable streams',
    resumable: { count: 19, answered: 0 },
    broken: [],
  },
  { name: 'few other streams', others: { count: 19, answered: 19 }, broken: [] },
  {
    name: 'no streams served at all',
    resumable: { count: 200, answered: 0 },
    others: { count: 100, answered: 0 },
    broken: [],
  },
  {
    name: 'nine tenths of the silenced requests answered',
    silenced: { count: 30, answered: 27, missing: ['r-1', 'r-2', 'r-3'] },
    broken: [],
  },
  {
    name: 'fewer of the silenced requests answered',
    silenced: { count: 30, answered: 26, missing: ['r-1', 'r-2', 'r-3', 'r-4'] },
    broken: ['leftAtSilentServer'],
  },
  {
    name: 'one of few silenced requests not answered',
    silenced: { count: 2, answered: 1, missing: ['r-1'] },
    broken: [],
  },
  {
    name: 'two of few silenced requests not answered',
    silenced: { count: 5, answered: 3, missing: ['r-1', 'r-2'] },
    broken: ['leftAtSilentServer'],
  },
];

describe('the check of silences', () => {
  for (const { name, broken, ...tally } of SHARE_CASES) {
    it(`finds ${broken.length} broken: ${name}`, () => {
      const found = checkSilence({ ...KEPT, ...tally }).map(({ promise }) => promise);
      assert.deepEqual(found, broken);
    });
  }
});
