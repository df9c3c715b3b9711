import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createSeededRandom } from '../random';
import { createSizeShares } from './size-shares';

const KIND = 'review/1';
/** The operator's least for the largest tenth, as a part of the whole. */
const LEAST_OF_THE_WHOLE = 0.5;

interface Decision {
  readonly tokens: number;
  readonly wasLetIn: boolean;
}

/** Asks for prompts of 1,000 to 31,000 tokens, of which those above `mostTokens` are let in only where one is due. */
function decide(seed: number, mostTokens: number): readonly Decision[] {
  const random = createSeededRandom(seed);
  const shares = createSizeShares();
  return Array.from({ length: 600 }, () => {
    const tokens = Math.round(1_000 + 30_000 * random.next() ** 2);
    shares.noteAsked(KIND, tokens);
    const wasLetIn = tokens <= mostTokens || shares.isDue(KIND, tokens);
    shares.noteDecided(KIND, tokens, wasLetIn);
    return { tokens, wasLetIn };
  });
}

function rateOf(decisions: readonly Decision[]): number {
  return decisions.filter(({ wasLetIn }) => wasLetIn).length / decisions.length;
}

/**
 * A rule lets in whatever is shorter than some length, as predictions of a first byte do on a busy day. Whoever asks
 * with a longer prompt is refused each time.
 */
describe('prompts that are always too long', () => {
  for (const mostTokens of [3_000, 8_000, 20_000]) {
    for (const seed of [1, 2, 3]) {
      it(`are let in half as often as all where ${mostTokens} tokens are too many (seed ${seed})`, () => {
        const decisions = decide(seed, mostTokens);
        const bySize = [...decisions].sort((left, right) => right.tokens - left.tokens);
        const tenth = decisions.length / 10;
        const all = rateOf(decisions);
        const classes = [bySize.slice(0, tenth), bySize.slice(tenth, 3 * tenth)];
        for (const rate of classes.map(rateOf)) {
          assert.ok(rate >= all * LEAST_OF_THE_WHOLE, `${rate} of a class, ${all} of all`);
        }
      });
    }
  }
});

describe('what a size is owed', () => {
  // Servers were gone for a while, and nobody was let in. When they are back, those who were refused come again at once.
  it('is no rush of long prompts after a time in which none was let in', () => {
    const shares = createSizeShares();
    for (let count = 0; count < 200; count += 1) {
      shares.noteAsked(KIND, 5_000 + count * 10);
      shares.noteDecided(KIND, 5_000 + count * 10, false);
    }
    let letInAtOnce = 0;
    while (shares.isDue(KIND, 30_000)) {
      shares.noteDecided(KIND, 30_000, true);
      letInAtOnce += 1;
    }
    assert.ok(letInAtOnce <= 2, `${letInAtOnce} at once`);
  });

  it('is nothing where all are let in', () => {
    const shares = createSizeShares();
    for (let count = 0; count < 50; count += 1) {
      shares.noteAsked(KIND, 9_000);
      assert.equal(shares.isDue(KIND, 9_000), false);
      shares.noteDecided(KIND, 9_000, true);
    }
  });

  it('is kept for one that came back from another region', () => {
    const shares = createSizeShares();
    for (const kept of [false, true]) {
      for (let count = 0; count < 4; count += 1) {
        shares.noteAsked(KIND, 9_000);
        shares.noteDecided(KIND, 9_000, true);
        if (kept) shares.noteReturned(KIND, 9_000);
      }
      assert.equal(shares.isDue(KIND, 9_000), kept);
    }
  });
});
