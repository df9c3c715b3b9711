import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { largestPart } from './largest-part';

const NO_PARTS = {
  slotWaitMs: 0,
  batchMs: 0,
  otherPromptsMs: 0,
  ownPromptMs: 0,
  copyMs: 0,
  slownessMs: 0,
  latenessMs: 0,
};

describe('the largest part of a prediction', () => {
  const cases = [
    { parts: { slotWaitMs: 40, otherPromptsMs: 30 }, correctionMs: 10, expected: 'slotWaitMs' },
    { parts: { latenessMs: 600, batchMs: 2 }, correctionMs: 100, expected: 'latenessMs' },
    { parts: { ownPromptMs: 200 }, correctionMs: 400, expected: 'correctionMs' },
    {
      parts: { otherPromptsMs: 200, slownessMs: -50 },
      correctionMs: -90,
      expected: 'otherPromptsMs',
    },
  ];
  for (const { parts, correctionMs, expected } of cases) {
    it(`is ${expected} of ${JSON.stringify(parts)} corrected by ${correctionMs}`, () => {
      const rawPredictedMs = Object.values(parts).reduce((sum, partMs) => sum + partMs, 0);
      const predictedMs = rawPredictedMs + correctionMs;
      const choice = { parts: { ...NO_PARTS, ...parts }, rawPredictedMs, predictedMs };
      assert.equal(largestPart(choice), expected);
    });
  }
});
