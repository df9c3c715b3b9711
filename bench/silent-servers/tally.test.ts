import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createSeededRandom } from '../../src/core/random';
import { plainBody, streamBody } from '../../soak/promises';
import type { ServerRun } from '../../soak/types';
import { REQUEST_KINDS, drawRequest } from './requests';
import { outcomeOf, tally, tallyWaits } from './tally';
import type { MeasuredRequest } from './tally';

const ID = 'r-1';
const SILENCE = { serverIds: ['silent-1', 'silent-2'], fromMs: 1_000 };

interface Answer {
  readonly status?: number | undefined;
  readonly isWhole?: boolean;
  readonly body?: string;
  readonly partsAtMs?: readonly number[];
}

/** Returns a request of a kind with its answer, by default a whole one. */
function measuredOf(kindName: string, answer: Answer = {}): MeasuredRequest {
  const of = REQUEST_KINDS.find(({ name }) => name === kindName);
  assert.ok(of !== undefined);
  const { partsAtMs = [], isWhole = true } = answer;
  const { kind } = of;
  const body = answer.body ?? (kind === 'stream' ? streamBody(ID) : plainBody(ID));
  return {
    request: { requestId: ID, of, path: `${of.prefix}100`, kind, maxAttempts: 2 },
    attempt: {
      requestId: ID,
      address: '127.0.0.1:1',
      atMs: 0,
      endedAtMs: 0,
      hasLeft: false,
      kind,
      isResumable: false,
      isBoundToRegion: false,
      maxAttempts: 2,
      key: 'k-farm',
      status: 'status' in answer ? answer.status : 200,
      isWhole,
      isSigned: true,
      body,
    },
    partsAtMs,
  };
}

function runsAt(...servers: readonly (readonly [serverId: string, atMs: number])[]): ServerRun[] {
  return servers.map(([serverId, atMs]) => ({
    requestId: ID,
    serverId,
    server: serverId,
    atMs,
    account: 'farm',
    sawKey: false,
  }));
}

describe('the outcome of a request', () => {
  const cases = [
    { status: 200, isWhole: true, outcome: 'whole' },
    { status: 200, isWhole: false, outcome: 'cut' },
    { status: 502, isWhole: true, outcome: 'failed' },
    { status: 504, isWhole: true, outcome: 'failed' },
    { status: 503, isWhole: true, outcome: 'refused' },
    { status: 429, isWhole: false, outcome: 'refused' },
    { status: 404, isWhole: true, outcome: 'other' },
    { status: undefined, isWhole: false, outcome: 'other' },
  ];
  for (const { outcome, ...answer } of cases) {
    it(`is ${outcome} with status ${answer.status}${answer.isWhole ? '' : ' that is cut'}`, () => {
      assert.equal(outcomeOf(answer), outcome);
    });
  }
});

describe('the tally of requests', () => {
  const event = (eventId: number) => `id: ${eventId}\ndata: ${ID} ${eventId} of v1\n\n`;
  const cutWith = (body: string) => measuredOf('resumable stream', { isWhole: false, body });
  const sound = { tooManyServers: 0, ranTwice: 0, corruptStreams: 0 };
  const cases = [
    { name: 'a whole answer', measured: measuredOf('safe'), servers: 1, expected: sound },
    { name: 'a safe request at two', measured: measuredOf('safe'), servers: 2, expected: sound },
    {
      name: 'a safe request at three',
      measured: measuredOf('safe'),
      servers: 3,
      expected: { ...sound, tooManyServers: 1 },
    },
    {
      name: 'a request that may run once at two',
      measured: measuredOf('run once'),
      servers: 2,
      expected: { ...sound, ranTwice: 1 },
    },
    {
      name: 'a stream that may not be resumed at two',
      measured: measuredOf('other stream'),
      servers: 2,
      expected: { ...sound, ranTwice: 1 },
    },
    {
      name: 'a stream that is cut between events',
      measured: cutWith(event(1) + event(2)),
      servers: 2,
      expected: sound,
    },
    {
      name: 'an event that comes twice',
      measured: cutWith(event(1) + event(1)),
      servers: 2,
      expected: { ...sound, corruptStreams: 1 },
    },
    {
      name: 'events out of order',
      measured: cutWith(event(2) + event(1)),
      servers: 1,
      expected: { ...sound, corruptStreams: 1 },
    },
    {
      name: 'a gap between events',
      measured: cutWith(event(1) + event(3)),
      servers: 2,
      expected: { ...sound, corruptStreams: 1 },
    },
    {
      name: 'a stream that ends as whole before its last event',
      measured: measuredOf('resumable stream', { body: event(1) }),
      servers: 1,
      expected: { ...sound, corruptStreams: 1 },
    },
  ];
  for (const { name, measured, servers, expected } of cases) {
    it(`judges ${name}`, () => {
      const runs = runsAt(
        ...Array.from({ length: servers }, (_, index) => [`server-${index}`, 0] as const),
      );
      const { tooManyServers, ranTwice, corruptStreams, broken, ...counts } = tally(
        [measured],
        runs,
      );
      assert.deepEqual({ tooManyServers, ranTwice, corruptStreams }, expected);
      assert.deepEqual(broken, []);
      assert.equal(counts.requests, 1);
      assert.equal(counts.runs, servers);
    });
  }

  it('shows a refused request that may run once and has run', () => {
    const refused = measuredOf('run once', { status: 503, body: '' });
    const { outcomes, broken } = tally([refused], runsAt(['server-1', 0]));
    assert.equal(outcomes.refused, 1);
    assert.deepEqual(
      broken.map(({ promise }) => promise),
      ['refusedButRan'],
    );
  });

  it('leaves out runs of other requests', () => {
    const others = runsAt(['server-1', 0]).map((run) => ({ ...run, requestId: 'r-2' }));
    assert.equal(tally([measuredOf('safe')], others).runs, 0);
  });
});

describe('the wait at servers that are silent for good', () => {
  const cases = [
    {
      name: 'is not counted for a request that ended before',
      measured: measuredOf('safe', { partsAtMs: [900] }),
      runs: runsAt(['silent-1', 500]),
      expected: { requests: 0, restAfterMs: [] },
    },
    {
      name: 'is not counted for a request at other servers',
      measured: measuredOf('safe', { partsAtMs: [1_300] }),
      runs: runsAt(['server-3', 1_100]),
      expected: { requests: 0, restAfterMs: [] },
    },
    {
      name: 'lasts from the begin of the silence to the first part of another server',
      measured: measuredOf('resumable stream', { partsAtMs: [800, 1_001, 2_600, 2_700] }),
      runs: runsAt(['silent-1', 500], ['server-3', 2_500]),
      expected: { requests: 1, restAfterMs: [1_600] },
    },
    {
      name: 'lasts from the arrival of a request that arrives later',
      measured: measuredOf('safe', { partsAtMs: [3_500] }),
      runs: runsAt(['silent-1', 2_000], ['server-3', 3_300]),
      expected: { requests: 1, restAfterMs: [1_500] },
    },
    {
      name: 'has no end if nothing else arrives',
      measured: measuredOf('resumable stream', { isWhole: false, partsAtMs: [900] }),
      runs: runsAt(['silent-1', 500], ['silent-2', 2_400]),
      expected: { requests: 1, restAfterMs: [] },
    },
  ];
  for (const { name, measured, runs, expected } of cases) {
    it(name, () => {
      assert.deepEqual(tallyWaits([measured], runs, SILENCE), expected);
    });
  }
});

describe('requests of the bench', () => {
  const draw = () => {
    const random = createSeededRandom(70);
    return Array.from({ length: 330 }, (_, number) => drawRequest(random, number));
  };

  it('are the same in each row', () => {
    assert.deepEqual(draw(), draw());
  });

  it('are of all kinds', () => {
    const kinds = new Set(draw().map(({ of }) => of.name));
    assert.equal(kinds.size, REQUEST_KINDS.length);
  });
});
