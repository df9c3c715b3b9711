import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  chooseRegion,
  chooseServer,
  createPrefixCacheView,
  createServerLoads,
  createServicePaces,
} from '.';
import type { Candidate } from '.';

const PACE = { prefillMsPerToken: 0.025, slotTimeMs: 1_000 };

function candidate(incarnationId: string, more: Partial<Candidate> = {}): Candidate {
  return {
    incarnationId,
    slots: 64,
    load: 0,
    pendingTokens: 0,
    uncachedTokens: 0,
    copyableTokens: 0,
    delayMs: 0,
    failureCostMs: 0,
    ...more,
  };
}

describe('the server of a request', () => {
  const cases: readonly {
    readonly name: string;
    readonly candidates: readonly Candidate[];
    readonly expected: string | undefined;
  }[] = [
    { name: 'is none where there is none', candidates: [], expected: undefined },
    {
      name: 'is the one that holds its prompt, while that has slots',
      candidates: [candidate('holds', { load: 30 }), candidate('idle', { uncachedTokens: 9_000 })],
      expected: 'holds',
    },
    {
      name: 'is not the one that holds its prompt once a queue there costs more than reading it again',
      candidates: [candidate('holds', { load: 90 }), candidate('idle', { uncachedTokens: 9_000 })],
      expected: 'idle',
    },
    {
      name: 'is not one that has long prompts to read first',
      candidates: [
        candidate('reading', { pendingTokens: 40_000 }),
        candidate('busy', { load: 40 }),
      ],
      expected: 'busy',
    },
    {
      name: 'is not one that was slow lately',
      candidates: [candidate('slow', { delayMs: 300 }), candidate('busy', { load: 50 })],
      expected: 'busy',
    },
    {
      name: 'is not one that was failing lately',
      candidates: [candidate('failing', { failureCostMs: 300 }), candidate('busy', { load: 50 })],
      expected: 'busy',
    },
    {
      name: 'is a failing one where all fail: the fleet is never ejected',
      candidates: [candidate('a', { failureCostMs: 900 }), candidate('b', { failureCostMs: 800 })],
      expected: 'b',
    },
  ];
  for (const { name, candidates, expected } of cases) {
    it(name, () => assert.equal(chooseServer(candidates, PACE)?.incarnationId, expected));
  }

  // Many long prompts arrive within a moment, before any report could show where they went.
  it('is another one for each of many requests that arrive together', () => {
    const loads = createServerLoads();
    const ids = ['s-1', 's-2', 's-3', 's-4'];
    const counts = new Map(ids.map((id): [string, number] => [id, 0]));
    for (let count = 0; count < 40; count += 1) {
      const choice = chooseServer(
        ids.map((id) =>
          candidate(id, { load: loads.load(id, 0), pendingTokens: loads.pendingTokens(id) }),
        ),
        PACE,
      );
      const { incarnationId } = choice ?? { incarnationId: '' };
      loads.noteSent(incarnationId, 6_000, 0);
      counts.set(incarnationId, (counts.get(incarnationId) ?? 0) + 1);
    }
    assert.deepEqual([...counts.values()], [10, 10, 10, 10]);
  });
});

describe('the predicted time to a first byte', () => {
  // All servers of a service fail half of their requests. Were that counted as slowness, the half that would have
  // been served well would be refused as well.
  it('is not longer where a server fails requests', () => {
    const choice = chooseServer([candidate('failing', { failureCostMs: 500 })], PACE);
    assert.equal(choice?.predictedMs, chooseServer([candidate('sound')], PACE)?.predictedMs);
  });
});

describe('the region of a request', () => {
  const idle = { region: 'south', utilization: 0.2 };
  const full = { region: 'east', utilization: 0.9 };
  const input = { objectiveMs: 800, others: [full, idle] };
  const cases = [
    {
      name: 'is its own while it can be served well there',
      localMs: 300,
      others: [idle],
      to: 'local',
    },
    {
      name: 'is an idle one once waiting here would cost the objective',
      localMs: 700,
      others: [full, idle],
      to: 'south',
    },
    {
      name: 'is its own when the others are full as well',
      localMs: 5_000,
      others: [full],
      to: 'local',
    },
    {
      name: 'is another one where nothing here may be used',
      localMs: undefined,
      others: [full],
      to: 'east',
    },
    {
      name: 'is none where there is nothing anywhere',
      localMs: undefined,
      others: [],
      to: 'nowhere',
    },
  ];
  for (const { name, localMs, others, to } of cases) {
    it(name, () => {
      const choice = chooseRegion({ ...input, localMs, others });
      assert.equal(choice.kind === 'remote' ? choice.region : choice.kind, to);
    });
  }
});

describe('what is known of a server', () => {
  it('counts requests of other instances by its own report, and own ones at once', () => {
    const loads = createServerLoads();
    loads.noteSent('s-1', 0, 0);
    loads.noteReport('s-1', { running: 10, waiting: 2, slots: 64 }, 0);
    assert.equal(loads.load('s-1', 0), 12);
    loads.noteSent('s-1', 0, 0);
    assert.equal(loads.load('s-1', 0), 13);
  });

  // A server loses power. Nothing comes from it, no connection is reset, and each new request would wait there.
  it('turns against it while it owes answers and nothing comes', () => {
    const loads = createServerLoads();
    loads.noteSent('s-1', 0, 0);
    assert.equal(loads.delayMs('s-1', 100), 0);
    assert.ok(loads.delayMs('s-1', 2_000) > 1_000);
    assert.equal(loads.silentMs('s-1', 2_000), 2_000);
    loads.noteHeard('s-1', 2_000);
    assert.equal(loads.delayMs('s-1', 2_100), 0);
  });

  // A server fails half of its requests while its health check is good.
  it('turns against it while it fails, and forgets within seconds', () => {
    const loads = createServerLoads();
    for (let count = 0; count < 40; count += 1) {
      loads.noteSent('s-1', 0, 0);
      loads.noteEnded('s-1', { hadFirstByte: false, tokens: 0, isFailure: count % 2 === 0 }, 0);
    }
    const share = loads.failureShare('s-1', 0);
    assert.ok(share > 0.3, `${share}`);
    assert.ok(loads.failureShare('s-1', 30_000) < 0.002);
    assert.equal(loads.totalInFlight(), 0);
  });

  it('keeps new requests away for a moment after it could not be reached, longer each time', () => {
    const loads = createServerLoads();
    loads.noteUnreachable('s-1', 0);
    assert.equal(loads.isBlocked('s-1', 249), true);
    assert.equal(loads.isBlocked('s-1', 250), false);
    loads.noteUnreachable('s-1', 250);
    assert.equal(loads.isBlocked('s-1', 700), true);
    assert.equal(loads.isBlocked('s-1', 750), false);
  });

  // A link loses one packet of each of five connections that are being made. Counted one by one, that would keep a
  // sound server out of use for seconds.
  it('counts connections that fail in one moment as one failure', () => {
    const loads = createServerLoads();
    for (let count = 0; count < 5; count += 1) loads.noteUnreachable('s-1', 0);
    assert.equal(loads.isBlocked('s-1', 250), false);
  });
});

describe('what caches hold', () => {
  const demand = {
    promptTokens: 9_190,
    parts: [
      { partId: 'a', tokens: 2_520 },
      { partId: 'b', tokens: 3_780 },
      { partId: 'own', tokens: 2_890 },
    ],
  };

  it('is what was sent there, up to the first part that was not', () => {
    const view = createPrefixCacheView();
    assert.equal(view.cachedTokens('s-1', demand), 0);
    view.noteRead('s-1', demand);
    assert.equal(view.cachedTokens('s-1', demand), 9_190);
    const another = {
      ...demand,
      parts: [...demand.parts.slice(0, 2), { partId: 'x', tokens: 2_890 }],
    };
    assert.equal(view.cachedTokens('s-1', another), 6_300);
    const [first, ...rest] = demand.parts;
    const misplaced = { ...demand, parts: [{ partId: 'z', tokens: first?.tokens ?? 0 }, ...rest] };
    assert.equal(view.cachedTokens('s-1', misplaced), 0);
  });

  it('is looked for at the same server by all instances', () => {
    const ids = ['s-1', 's-2', 's-3'];
    const first = createPrefixCacheView().preferred(ids, demand);
    const second = createPrefixCacheView().preferred([...ids].reverse(), demand);
    assert.equal(first, second);
    assert.ok(first !== undefined);
  });
});

describe('the pace of a service', () => {
  it('follows what is measured, within bounds', () => {
    const paces = createServicePaces();
    for (let count = 0; count < 200; count += 1) {
      paces.notePrefill('llm', 5_000, 250);
      paces.noteSlotTime('llm', 400);
    }
    assert.ok(Math.abs(paces.pace('llm').prefillMsPerToken - 0.05) < 0.002);
    assert.ok(Math.abs(paces.pace('llm').slotTimeMs - 400) < 5);
    for (let count = 0; count < 500; count += 1) paces.notePrefill('llm', 5_000, 60_000);
    assert.ok(paces.pace('llm').prefillMsPerToken <= 0.2);
  });
});
