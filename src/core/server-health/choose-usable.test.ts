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
  // A server that has just come back has no open requests, so a choice by load alone would send it every arrival of
  // the next seconds while its cache is cold, and the callers of these requests would wait longest.
  it('offers a server in its slow start to its share of requests, and an unusable one to none', () => {
    const counts = offersOf({ full: 1, warming: 0.2, out: 0 }, 1_000);
    assert.equal(counts.full, 1_000);
    assert.equal(counts.out, undefined);
    assert.ok(Math.abs((counts.warming ?? 0) - 200) < 40, `${counts.warming} offers`);
  });

  it('offers at least one server when all are in their slow start, instead of refusing the request', () => {
    const random = createSeededRandom(5);
    for (let round = 0; round < 100; round += 1) {
      assert.ok(chooseUsable(['a', 'b'], () => 0.1, random).length > 0);
    }
  });
});
