import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { failuresNeeded, judgeHealth } from './judge-health';
import type { PeerMark, ServerEvidence, HealthState } from './types';

const NOW_MS = 10_000;

const plain: ServerEvidence = {
  incarnation: 'start-2',
  saysDraining: false,
  failsChecks: false,
  listStatus: 'unknown',
  leavingIncarnation: undefined,
  lastSuccessAtMs: undefined,
  peerMarks: [],
};

const mark = (change: Partial<PeerMark>): PeerMark => ({
  origin: 'peer-1',
  kind: 'down',
  incarnation: 'start-2',
  receivedAtMs: 9_000,
  expiresAtMs: 20_000,
  ...change,
});

interface Case {
  readonly name: string;
  readonly evidence: Partial<ServerEvidence>;
  readonly expected: HealthState;
}

// The list lags and is wrong at times: callers would meet dead servers that it still has, and live ones that
// it omits would stand idle, were it believed in anything but an intention to leave.
const cases: readonly Case[] = [
  { name: 'nothing known', evidence: {}, expected: { kind: 'usable' } },
  {
    name: 'on the list but dead',
    evidence: { listStatus: 'passing', failsChecks: true },
    expected: { kind: 'down', cause: 'checks' },
  },
  {
    name: 'missing from the list but alive',
    evidence: { listStatus: 'missing', lastSuccessAtMs: 9_900 },
    expected: { kind: 'usable' },
  },
  {
    name: 'failing by the list but alive',
    evidence: { listStatus: 'failing', lastSuccessAtMs: 9_900 },
    expected: { kind: 'usable' },
  },
  {
    name: 'leaving by the list while its checks are good',
    evidence: { listStatus: 'leaving', leavingIncarnation: 'start-2', lastSuccessAtMs: 9_900 },
    expected: { kind: 'draining', cause: 'list' },
  },
  {
    name: 'back under the same address while the list still says leaving',
    evidence: { listStatus: 'leaving', leavingIncarnation: 'start-1' },
    expected: { kind: 'usable' },
  },
  {
    name: 'leaving, as it says itself',
    evidence: { saysDraining: true, lastSuccessAtMs: 9_900 },
    expected: { kind: 'draining', cause: 'selfReported' },
  },
  {
    name: 'leaving by a peer',
    evidence: { peerMarks: [mark({ kind: 'draining' })], lastSuccessAtMs: 9_900 },
    expected: { kind: 'draining', cause: 'peer' },
  },
  {
    name: 'leaving by a peer that spoke of an earlier start',
    evidence: { peerMarks: [mark({ kind: 'draining', incarnation: 'start-1' })] },
    expected: { kind: 'usable' },
  },
  {
    name: 'down by a peer',
    evidence: { peerMarks: [mark({})], lastSuccessAtMs: 8_000 },
    expected: { kind: 'down', cause: 'peer' },
  },
  {
    name: 'down by a peer, with a good answer here since',
    evidence: { peerMarks: [mark({})], lastSuccessAtMs: 9_500 },
    expected: { kind: 'usable' },
  },
  {
    name: 'down by a peer whose statement has expired',
    evidence: { peerMarks: [mark({ expiresAtMs: NOW_MS })] },
    expected: { kind: 'usable' },
  },
];

describe('the healthState of a backend server', () => {
  for (const { name, evidence, expected } of cases) {
    it(name, () => {
      assert.deepEqual(judgeHealth({ ...plain, ...evidence }, NOW_MS), expected);
    });
  }

  it('takes one failed check where the list has its doubts too, else as many as configured', () => {
    const needed = (['unknown', 'passing', 'failing', 'missing', 'leaving'] as const).map(
      (status) => failuresNeeded(status, 3),
    );
    assert.deepEqual(needed, [3, 3, 1, 1, 1]);
  });
});
