import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { chooseServer, createPrefixCacheView, supplyPrompts } from '.';
import type { Candidate, ModelDemand } from '.';

const PACE = { prefillMsPerToken: 0.03, slotTimeMs: 1_000, copyMsPerToken: 0.004 };

function candidate(incarnationId: string, more: Partial<Candidate> = {}): Candidate {
  return {
    incarnationId,
    slots: 128,
    load: 0,
    pendingTokens: 0,
    uncachedTokens: 0,
    copyableTokens: 0,
    delayMs: 0,
    failureCostMs: 0,
    ...more,
  };
}

describe('a prompt whose first parts a neighbour holds', () => {
  const DEMAND: ModelDemand = {
    promptTokens: 9_190,
    parts: [
      { partId: 'a', tokens: 2_520 },
      { partId: 'b', tokens: 3_780 },
      { partId: 'own', tokens: 2_890 },
    ],
  };
  const IDS = ['s-1', 's-2', 's-3'];

  // Many callers ask about the same document in a peak. The server that holds it is busy; each other one would read it
  // again, and hold up all its streams for as long.
  it('is copied by a server that does not hold them', () => {
    const view = createPrefixCacheView();
    view.noteParts('s-1', ['a', 'b']);
    const supplies = supplyPrompts(view, IDS, DEMAND, true);
    assert.deepEqual(supplies('s-2'), {
      uncachedTokens: 9_190,
      copyableTokens: 6_300,
      copyFrom: 's-1',
    });
    assert.equal(supplies('s-1').copyFrom, undefined);
  });

  const uncopied = [
    { name: 'where servers cannot copy', parts: ['a', 'b'], mayCopy: false },
    { name: 'where the neighbour holds a part in the middle alone', parts: ['b'], mayCopy: true },
  ];
  for (const { name, parts, mayCopy } of uncopied) {
    it(`is not copied ${name}`, () => {
      const view = createPrefixCacheView();
      view.noteParts('s-1', parts);
      const preferred = view.preferred(IDS, DEMAND) ?? '';
      const supply = supplyPrompts(view, IDS, DEMAND, mayCopy)(preferred);
      assert.equal(supply.copyFrom, undefined);
    });
  }

  // An instance that has just started knows nothing of caches, though the servers have kept theirs.
  it('is looked for at the server that all instances prefer, while nothing is known', () => {
    const view = createPrefixCacheView();
    const preferred = view.preferred(IDS, DEMAND);
    const other = IDS.find((id) => id !== preferred) ?? '';
    assert.equal(supplyPrompts(view, IDS, DEMAND, true)(other).copyFrom, preferred);
  });

  it('draws its request away from the busy holder to a free server', () => {
    const choice = chooseServer(
      [
        candidate('holder', { uncachedTokens: 2_890, pendingTokens: 30_000, load: 20 }),
        candidate('free', { uncachedTokens: 9_190, copyableTokens: 6_300 }),
      ],
      PACE,
    );
    assert.equal(choice?.incarnationId, 'free');
  });
});
