import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createSeededRandom } from '../random';
import { createSizeAdmission } from './size-admission';
import type { SizeAdmission } from './size-admission';

const KIND = 'review/1';
/** The operator's least for the largest tenth, as a part of the whole. */
const LEAST_OF_THE_WHOLE = 0.5;

interface Decision {
  readonly readMs: number;
  readonly wasLetIn: boolean;
}

/** Decides on a prompt that takes `readMs` at a server where `waitMs` pass before. */
function decide(
  sizes: SizeAdmission,
  readMs: number,
  waitMs: number,
  objectiveMs: number,
): Decision {
  const predictedMs = waitMs + readMs;
  if (predictedMs <= objectiveMs) {
    sizes.noteInTime(KIND, readMs);
    return { readMs, wasLetIn: true };
  }
  const late = { kind: KIND, predictedMs, ownReadMs: readMs, objectiveMs };
  return { readMs, wasLetIn: sizes.letsIn(late) };
}

/** Asks for prompts that take 1,000 to 31,000 ms, of which those above the objective are late for their size. */
function decideMany(seed: number, objectiveMs: number, count: number): readonly Decision[] {
  const random = createSeededRandom(seed);
  const sizes = createSizeAdmission(() => random.next());
  return Array.from({ length: count }, () =>
    decide(sizes, Math.round(1_000 + 30_000 * random.next() ** 2), 0, objectiveMs),
  );
}

function rateOf(decisions: readonly Decision[]): number {
  return decisions.filter(({ wasLetIn }) => wasLetIn).length / decisions.length;
}

/** Guards against whoever asks with a longer prompt than is in time being refused each time. */
describe('prompts that are always too long', () => {
  for (const objectiveMs of [3_000, 8_000, 20_000]) {
    for (const seed of [1, 2, 3]) {
      it(`are let in half as often as all where ${objectiveMs} ms are too many (seed ${seed})`, () => {
        const decisions = decideMany(seed, objectiveMs, 600);
        const bySize = [...decisions].sort((left, right) => right.readMs - left.readMs);
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

/** Guards against a rule that has to learn sizes first: of many instances each sees few requests. */
describe('prompts that are too long, at instances that have seen few', () => {
  for (const count of [1, 3, 10, 30]) {
    it(`are let in half as often as all after ${count} requests each`, () => {
      const decisions = Array.from({ length: 3_000 / count }, (_, index) =>
        decideMany(index + 1, 8_000, count),
      ).flat();
      const bySize = [...decisions].sort((left, right) => right.readMs - left.readMs);
      const largest = rateOf(bySize.slice(0, decisions.length / 10));
      const all = rateOf(decisions);
      assert.ok(largest >= all * LEAST_OF_THE_WHOLE, `${largest} of the largest, ${all} of all`);
    });
  }
});

describe('a late request', () => {
  const objectiveMs = 800;
  const cases = [
    { name: 'of any size where all wait too long', readMs: 300, waitMs: 850, mayBeLetIn: false },
    {
      name: 'of a usual size where a short one is late',
      readMs: 300,
      waitMs: 700,
      mayBeLetIn: false,
    },
    {
      name: 'of the largest where a short one is late',
      readMs: 900,
      waitMs: 700,
      mayBeLetIn: false,
    },
    {
      name: 'of the largest where a short one is in time',
      readMs: 900,
      waitMs: 500,
      mayBeLetIn: true,
    },
  ];
  for (const { name, readMs, waitMs, mayBeLetIn } of cases) {
    it(`${name} is ${mayBeLetIn ? 'let in' : 'refused'} by the lowest number drawn`, () => {
      const sizes = createSizeAdmission(() => 0);
      for (let count = 0; count < 50; count += 1) sizes.noteInTime(KIND, 300);
      assert.equal(decide(sizes, readMs, waitMs, objectiveMs).wasLetIn, mayBeLetIn);
    });
  }

  // Servers were gone for a while, and nobody was let in. When they are back, those who were refused come again at once.
  it('is not let in more often after a time in which none was', () => {
    const shareAfter = (refusals: number): number => {
      const random = createSeededRandom(1);
      const sizes = createSizeAdmission(() => random.next());
      for (let count = 0; count < refusals; count += 1) decide(sizes, 300, 5_000, objectiveMs);
      const decisions = Array.from({ length: 200 }, () => decide(sizes, 900, 100, objectiveMs));
      return rateOf(decisions);
    };
    assert.ok(shareAfter(200) <= shareAfter(0));
  });
});
