import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  chooseRegion,
  chooseServer,
  createPrefixCacheView,
  createServerLoads,
  createServiceSpeeds,
} from '.';
import type { Candidate } from '.';
import { candidate } from './testing/candidate';

const SPEED = { prefillMsPerToken: 0.025, slotTimeMs: 1_000 };

describe('chooseServer', () => {
  const cases: readonly {
    readonly name: string;
    readonly candidates: readonly Candidate[];
    readonly expected: string | undefined;
  }[] = [
    { name: 'returns undefined without candidates', candidates: [], expected: undefined },
    {
      name: 'prefers the server that has cached the prompt while it has free slots',
      candidates: [candidate('holds', { load: 30 }), candidate('idle', { uncachedTokens: 9_000 })],
      expected: 'holds',
    },
    {
      name: 'avoids the server that has cached the prompt if its queue costs more than computing it again',
      candidates: [candidate('holds', { load: 90 }), candidate('idle', { uncachedTokens: 9_000 })],
      expected: 'idle',
    },
    {
      name: 'avoids a server with long pending prompts',
      candidates: [
        candidate('reading', { pendingTokens: 40_000 }),
        candidate('busy', { load: 40 }),
      ],
      expected: 'busy',
    },
    {
      name: 'avoids a server that has recently been slow',
      candidates: [candidate('slow', { delayMs: 300 }), candidate('busy', { load: 50 })],
      expected: 'busy',
    },
    {
      name: 'avoids a server that has recently failed requests',
      candidates: [candidate('failing', { failureCostMs: 300 }), candidate('busy', { load: 50 })],
      expected: 'busy',
    },
    {
      name: 'selects a failing server if all fail, so that the fleet is never ejected as a whole',
      candidates: [candidate('a', { failureCostMs: 900 }), candidate('b', { failureCostMs: 800 })],
      expected: 'b',
    },
  ];
  for (const { name, candidates, expected } of cases) {
    it(name, () => assert.equal(chooseServer(candidates, SPEED)?.incarnationId, expected));
  }

  // Many long prompts arrive at once, before any load report shows to which servers they were sent.
  it('distributes requests that arrive together', () => {
    const loads = createServerLoads();
    const ids = ['s-1', 's-2', 's-3', 's-4'];
    const requestsByServer = new Map(ids.map((id): [string, number] => [id, 0]));
    for (let count = 0; count < 40; count += 1) {
      const choice = chooseServer(
        ids.map((id) =>
          candidate(id, { load: loads.load(id, 0), pendingTokens: loads.pendingTokens(id) }),
        ),
        SPEED,
      );
      const { incarnationId } = choice ?? { incarnationId: '' };
      loads.recordSent(incarnationId, 6_000, 0);
      requestsByServer.set(incarnationId, (requestsByServer.get(incarnationId) ?? 0) + 1);
    }
    assert.deepEqual([...requestsByServer.values()], [10, 10, 10, 10]);
  });
});

describe('the predicted time to the first byte', () => {
  // All servers of a service fail half of their requests. If failures counted as slowness, the other half would be
  // refused although it would be served in time.
  it('is not longer for a server that fails requests', () => {
    const choice = chooseServer([candidate('failing', { failureCostMs: 500 })], SPEED);
    assert.equal(choice?.predictedMs, chooseServer([candidate('sound')], SPEED)?.predictedMs);
  });
});

describe('chooseRegion', () => {
  const idle = { region: 'south', utilization: 0.2, room: 80 };
  const full = { region: 'east', utilization: 0.9, room: 10 };
  const input = { objectiveMs: 800, isOverMaxWait: false, others: [full, idle] };
  const cases = [
    {
      name: 'stays in the local region while it can serve the request in time',
      localFirstByteMs: 300,
      others: [idle],
      to: 'local',
    },
    {
      name: 'selects an idle region if waiting locally would endanger the objective',
      localFirstByteMs: 700,
      others: [full, idle],
      to: 'south',
    },
    {
      name: 'stays in the local region if the others are full as well',
      localFirstByteMs: 5_000,
      others: [full],
      to: 'local',
    },
    {
      name: 'selects another region if the local one has no usable server',
      localFirstByteMs: undefined,
      others: [full],
      to: 'east',
    },
    {
      name: 'selects none if no region has a usable server',
      localFirstByteMs: undefined,
      others: [],
      to: 'nowhere',
    },
  ];
  for (const { name, localFirstByteMs, others, to } of cases) {
    it(name, () => {
      const choice = chooseRegion({ ...input, localFirstByteMs, others });
      assert.equal(choice.kind === 'remote' ? choice.region : choice.kind, to);
    });
  }

  // Guards against refusing less urgent requests in a busy region while another region has room for them.
  const overMaxWaitCases = [
    { name: 'selects an idle region', others: [full, idle], to: 'south' },
    {
      name: 'stays in the local region if the others are full as well',
      others: [full],
      to: 'local',
    },
  ];
  for (const { name, others, to } of overMaxWaitCases) {
    it(`${name} for a request over its maximum wait that would be in time here`, () => {
      const choice = chooseRegion({ ...input, localFirstByteMs: 300, isOverMaxWait: true, others });
      assert.equal(choice.kind === 'remote' ? choice.region : choice.kind, to);
    });
  }
});

describe('the load of a server', () => {
  it('includes requests of other instances as reported by the server, and own requests at once', () => {
    const loads = createServerLoads();
    loads.recordSent('s-1', 0, 0);
    loads.recordReport('s-1', { running: 10, waiting: 2, slots: 64 }, 0);
    assert.equal(loads.load('s-1', 0), 12);
    loads.recordSent('s-1', 0, 0);
    assert.equal(loads.load('s-1', 0), 13);
  });

  // A server loses power: it sends nothing, no connection is reset, and each new request would wait there.
  it('includes a delay while requests wait for a first byte and the server is silent', () => {
    const loads = createServerLoads();
    loads.recordSent('s-1', 0, 0);
    assert.equal(loads.delayMs('s-1', 100), 0);
    assert.ok(loads.delayMs('s-1', 2_000) > 1_000);
    assert.equal(loads.silentMs('s-1', 2_000), 2_000);
    loads.recordReceived('s-1', 2_000);
    assert.equal(loads.delayMs('s-1', 2_100), 0);
  });

  // A server fails half of its requests while its health check passes.
  it('includes the share of failed requests, which decays within seconds', () => {
    const loads = createServerLoads();
    for (let count = 0; count < 40; count += 1) {
      loads.recordSent('s-1', 0, 0);
      loads.recordEnd('s-1', { hadFirstByte: false, tokens: 0, isFailure: count % 2 === 0 }, 0);
    }
    const share = loads.failureShare('s-1', 0);
    assert.ok(share > 0.3, `${share}`);
    assert.ok(loads.failureShare('s-1', 30_000) < 0.002);
    assert.equal(loads.totalInFlight(), 0);
  });

  it('applies a growing backoff after each failed connection', () => {
    const loads = createServerLoads();
    loads.recordUnreachable('s-1', 0);
    assert.equal(loads.isBackingOff('s-1', 249), true);
    assert.equal(loads.isBackingOff('s-1', 250), false);
    loads.recordUnreachable('s-1', 250);
    assert.equal(loads.isBackingOff('s-1', 700), true);
    assert.equal(loads.isBackingOff('s-1', 750), false);
  });

  // A link loses one packet of each of five connections that are being opened. If each counted as a failure, a healthy
  // server would not be used for seconds.
  it('counts connections that fail at the same time as one failure', () => {
    const loads = createServerLoads();
    for (let count = 0; count < 5; count += 1) loads.recordUnreachable('s-1', 0);
    assert.equal(loads.isBackingOff('s-1', 250), false);
  });
});

describe('the view of prefix caches', () => {
  const demand = {
    promptTokens: 9_190,
    parts: [
      { partId: 'a', tokens: 2_520 },
      { partId: 'b', tokens: 3_780 },
      { partId: 'own', tokens: 2_890 },
    ],
  };

  it('counts the parts that were sent to a server, up to the first that was not', () => {
    const view = createPrefixCacheView();
    assert.equal(view.cachedTokens('s-1', demand), 0);
    view.recordPrompt('s-1', demand);
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

  it('prefers the same server on all instances', () => {
    const ids = ['s-1', 's-2', 's-3'];
    const first = createPrefixCacheView().preferredServer(ids, demand);
    const second = createPrefixCacheView().preferredServer([...ids].reverse(), demand);
    assert.equal(first, second);
    assert.ok(first !== undefined);
  });
});

describe('the speed of a service', () => {
  it('follows the measured values within bounds', () => {
    const speeds = createServiceSpeeds();
    for (let count = 0; count < 200; count += 1) {
      speeds.recordPrefill('llm', 5_000, 250);
      speeds.recordSlotTime('llm', 400);
    }
    assert.ok(Math.abs(speeds.speedOf('llm').prefillMsPerToken - 0.05) < 0.002);
    assert.ok(Math.abs(speeds.speedOf('llm').slotTimeMs - 400) < 5);
    for (let count = 0; count < 500; count += 1) speeds.recordPrefill('llm', 5_000, 60_000);
    assert.ok(speeds.speedOf('llm').prefillMsPerToken <= 0.2);
  });
});
