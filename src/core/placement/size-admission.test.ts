import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createSeededRandom } from '../random';
import { createSizeAdmission } from './size-admission';
import type { SizeAdmission } from './size-admission';

const KIND = 'review/1';
/** Minimum admission rate that operators require for the largest tenth, as a share of the overall rate. */
const MIN_SHARE_OF_OVERALL_RATE = 0.5;

interface Decision {
  readonly prefillMs: number;
  readonly wasAdmitted: boolean;
}

/** Decides on a prompt that takes `prefillMs` at a server after a wait of `waitMs`. */
function decide(
  admission: SizeAdmission,
  prefillMs: number,
  waitMs: number,
  objectiveMs: number,
): Decision {
  const predictedMs = waitMs + prefillMs;
  if (predictedMs <= objectiveMs) {
    admission.recordInTime(KIND, prefillMs);
    return { prefillMs, wasAdmitted: true };
  }
  const late = { kind: KIND, predictedMs, ownPrefillMs: prefillMs, objectiveMs };
  return { prefillMs, wasAdmitted: admission.admits(late) };
}

/** Decides on prompts that take 1,000 to 31,000 ms; those above the objective are late only for their size. */
function decideMany(seed: number, objectiveMs: number, count: number): readonly Decision[] {
  const random = createSeededRandom(seed);
  const admission = createSizeAdmission(() => random.next());
  return Array.from({ length: count }, () =>
    decide(admission, Math.round(1_000 + 30_000 * random.next() ** 2), 0, objectiveMs),
  );
}

function admissionRate(decisions: readonly Decision[]): number {
  return decisions.filter(({ wasAdmitted }) => wasAdmitted).length / decisions.length;
}

/** Guards against refusing every request whose prompt alone takes longer than the objective. */
describe('prompts whose prefill always exceeds the objective', () => {
  for (const objectiveMs of [3_000, 8_000, 20_000]) {
    for (const seed of [1, 2, 3]) {
      it(`are admitted at least half as often as all with an objective of ${objectiveMs} ms (seed ${seed})`, () => {
        const decisions = decideMany(seed, objectiveMs, 600);
        const bySize = [...decisions].sort((left, right) => right.prefillMs - left.prefillMs);
        const tenth = decisions.length / 10;
        const all = admissionRate(decisions);
        const classes = [bySize.slice(0, tenth), bySize.slice(tenth, 3 * tenth)];
        for (const rate of classes.map(admissionRate)) {
          assert.ok(
            rate >= all * MIN_SHARE_OF_OVERALL_RATE,
            `${rate} of a size class, ${all} of all`,
          );
        }
      });
    }
  }
});

/** Guards against a rule that has to learn sizes first: each of many instances sees only few requests. */
describe('prompts whose prefill exceeds the objective, on instances with few samples', () => {
  for (const count of [1, 3, 10, 30]) {
    it(`are admitted at least half as often as all after ${count} requests each`, () => {
      const decisions = Array.from({ length: 3_000 / count }, (_, index) =>
        decideMany(index + 1, 8_000, count),
      ).flat();
      const bySize = [...decisions].sort((left, right) => right.prefillMs - left.prefillMs);
      const largest = admissionRate(bySize.slice(0, decisions.length / 10));
      const all = admissionRate(decisions);
      assert.ok(
        largest >= all * MIN_SHARE_OF_OVERALL_RATE,
        `${largest} of the largest, ${all} of all`,
      );
    });
  }
});

describe('a late request', () => {
  const objectiveMs = 800;
  const cases = [
    { name: 'of any size while all wait too long', prefillMs: 300, waitMs: 850, isAdmitted: false },
    {
      name: 'of a usual size while short ones are late',
      prefillMs: 300,
      waitMs: 700,
      isAdmitted: false,
    },
    {
      name: 'of the largest size while short ones are late',
      prefillMs: 900,
      waitMs: 700,
      isAdmitted: false,
    },
    {
      name: 'of the largest size while short ones are in time',
      prefillMs: 900,
      waitMs: 500,
      isAdmitted: true,
    },
  ];
  for (const { name, prefillMs, waitMs, isAdmitted } of cases) {
    it(`${name} is ${isAdmitted ? 'admitted' : 'refused'} with the lowest random number`, () => {
      const admission = createSizeAdmission(() => 0);
      for (let count = 0; count < 50; count += 1) admission.recordInTime(KIND, 300);
      assert.equal(decide(admission, prefillMs, waitMs, objectiveMs).wasAdmitted, isAdmitted);
    });
  }

  // Servers were unavailable for a while, and no request was admitted. When they are back, all refused callers retry at
  // once.
  it('is not admitted more often after a period without admissions', () => {
    const shareAfter = (refusals: number): number => {
      const random = createSeededRandom(1);
      const admission = createSizeAdmission(() => random.next());
      for (let count = 0; count < refusals; count += 1) decide(admission, 300, 5_000, objectiveMs);
      const decisions = Array.from({ length: 200 }, () => decide(admission, 900, 100, objectiveMs));
      return admissionRate(decisions);
    };
    assert.ok(shareAfter(200) <= shareAfter(0));
  });
});
