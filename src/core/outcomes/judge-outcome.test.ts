import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { combineOutcomes, judgeOutcome } from './judge-outcome';
import type { Evidence, Outcome } from './types';

const LOSS_CAUSES = [
  'reset',
  'timeout',
  'silence',
  'aborted',
  'malformed',
  'peerFellSilent',
  'endless',
] as const;

// A caller that reads "not run" places its order again. Each kind of evidence that is weaker than proof must
// therefore come out as "unknown".
describe('what a caller is told', () => {
  const cases: readonly (readonly [Evidence, Outcome])[] = [
    [{ kind: 'neverSent' }, 'notRun'],
    [{ kind: 'vouchedByTicketOwner' }, 'notRun'],
    [{ kind: 'refusedByPeer', vouches: true }, 'notRun'],
    [{ kind: 'refusedByPeer', vouches: false }, 'unknown'],
    [{ kind: 'refusedByServer', declaredNotRun: true }, 'notRun'],
    [{ kind: 'refusedByServer', declaredNotRun: false }, 'unknown'],
    [{ kind: 'ranBefore' }, 'ran'],
    [{ kind: 'ticketNotVouchedFor' }, 'unknown'],
    ...LOSS_CAUSES.map((cause) => [{ kind: 'lostAfterSending', cause }, 'unknown'] as const),
  ];
  for (const [evidence, outcome] of cases) {
    it(`is ${outcome} by ${JSON.stringify(evidence)}`, () => {
      assert.equal(judgeOutcome(evidence), outcome);
    });
  }

  it('is "not run" of several attempts only where each of them is', () => {
    assert.equal(combineOutcomes(['notRun', 'notRun']), 'notRun');
    assert.equal(combineOutcomes(['notRun', 'unknown']), 'unknown');
    assert.equal(combineOutcomes(['unknown', 'notRun']), 'unknown');
  });
});
