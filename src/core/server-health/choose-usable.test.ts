import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createSeededRandom } from '../random';
import { chooseUsable } from './choose-usable';

const offersOf = (shares: Readonly<Record<string, number>>, rounds: number) => {
  const random = createSeededRandom(3);
  const counts: Record<string, number> = {};
  for (let round = 0; round < rounds; round += 1) {
    for (const name of chooseUsable(Object.keys(shares), (one) => shares[one] ?? 0, random)) {
      counts[name] = (counts[name] ?? 0) + 1;
    }
  }
  return counts;
};

describe('servers offered to new requests', () => {
  // A server that has come back has no request open, so a choice by load alone sends it every arrival of the
  // next seconds while its cache is cold, and the callers among them wait longest.
  it('offers one in its slow start to its share of requests, one that is out to none', () => {
    const counts = offersOf({ full: 1, warming: 0.2, out: 0 }, 1_000);
    assert.equal(counts.full, 1_000);
    assert.equal(counts.out, undefined);
    assert.ok(Math.abs((counts.warming ?? 0) - 200) < 40, `${counts.warming} offers`);
  });

  it('offers all when all are in their slow start, rather than refuse the work', () => {
    const random = createSeededRandom(5);
    for (let round = 0; round < 100; round += 1) {
      assert.ok(chooseUsable(['a', 'b'], () => 0.1, random).length > 0);
    }
  });
});
