import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { chooseServer, createPrefixCacheView, createPrefillPlanner } from '.';
import type { Candidate, ModelDemand } from '.';
import { candidate } from './testing/candidate';

const SPEED = { prefillMsPerToken: 0.03, slotTimeMs: 1_000, copyMsPerToken: 0.004 };

const largeCandidate = (incarnationId: string, more: Partial<Candidate> = {}): Candidate =>
  candidate(incarnationId, { slots: 128, ...more });

describe('a prompt whose first parts a neighbour has cached', () => {
  const DEMAND: ModelDemand = {
    promptTokens: 9_190,
    parts: [
      { partId: 'a', tokens: 2_520 },
      { partId: 'b', tokens: 3_780 },
      { partId: 'own', tokens: 2_890 },
    ],
  };
  const IDS = ['s-1', 's-2', 's-3'];

  // During a peak many callers send prompts about the same document. The server that has cached it is busy; each other
  // server would have to compute it again and would delay all its streams meanwhile.
  it('is copied by a server that has not cached them', () => {
    const view = createPrefixCacheView();
    view.recordParts('s-1', ['a', 'b']);
    const planFor = createPrefillPlanner(view, IDS, DEMAND, () => true);
    assert.deepEqual(planFor('s-2'), {
      uncachedTokens: 9_190,
      copyableTokens: 6_300,
      copyFrom: 's-1',
    });
    assert.equal(planFor('s-1').copyFrom, undefined);
  });

  const uncopiedCases = [
    { name: 'if servers cannot copy', parts: ['a', 'b'], mayCopy: false },
    { name: 'if the neighbour has cached only a part in the middle', parts: ['b'], mayCopy: true },
  ];
  for (const { name, parts, mayCopy } of uncopiedCases) {
    it(`is not copied ${name}`, () => {
      const view = createPrefixCacheView();
      view.recordParts('s-1', parts);
      const preferred = view.preferredServer(IDS, DEMAND) ?? '';
      const plan = createPrefillPlanner(view, IDS, DEMAND, () => mayCopy)(preferred);
      assert.equal(plan.copyFrom, undefined);
    });
  }

  // Memory that other software wrote may have another layout; the answer would be wrong without a sign of it.
  it('is copied from the next best neighbour that it may be copied from', () => {
    const view = createPrefixCacheView();
    view.recordParts('s-1', ['a', 'b']);
    view.recordParts('s-2', ['a']);
    const isNotFirst = (source: string) => source !== 's-1';
    const plan = createPrefillPlanner(view, IDS, DEMAND, isNotFirst)('s-3');
    assert.equal(plan.copyFrom, 's-2');
    assert.equal(plan.copyableTokens, 2_520);
    assert.equal(createPrefillPlanner(view, IDS, DEMAND, () => false)('s-3').copyFrom, undefined);
  });

  // An instance that has just started has no data on caches, although the servers have kept theirs.
  it('is copied from the server that all instances prefer if no cache is known', () => {
    const view = createPrefixCacheView();
    const preferred = view.preferredServer(IDS, DEMAND);
    const other = IDS.find((id) => id !== preferred) ?? '';
    assert.equal(createPrefillPlanner(view, IDS, DEMAND, () => true)(other).copyFrom, preferred);
  });

  it('is processed by a free server instead of the busy server that has cached them', () => {
    const choice = chooseServer(
      [
        largeCandidate('holder', { uncachedTokens: 2_890, pendingTokens: 30_000, load: 20 }),
        largeCandidate('free', { uncachedTokens: 9_190, copyableTokens: 6_300 }),
      ],
      SPEED,
    );
    assert.equal(choice?.incarnationId, 'free');
  });
});
