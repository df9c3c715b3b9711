import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { failuresNeeded, evaluateHealth } from './evaluate-health';
import type { PeerStatement, ServerEvidence, HealthState } from './types';

const NOW_MS = 10_000;

const emptyEvidence: ServerEvidence = {
  incarnation: 'start-2',
  reportsDraining: false,
  failsChecks: false,
  listStatus: 'unknown',
  leavingIncarnation: undefined,
  lastSuccessAtMs: undefined,
  peerStatements: [],
};

const peerStatement = (change: Partial<PeerStatement>): PeerStatement => ({
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

// The list lags and is sometimes wrong. If anything in it but an intention to leave were trusted, requests would go
// to dead servers that it still holds, and live servers that it omits would stay idle.
const cases: readonly Case[] = [
  { name: 'no evidence', evidence: {}, expected: { kind: 'usable' } },
  {
    name: 'passing according to the list but failing its checks',
    evidence: { listStatus: 'passing', failsChecks: true },
    expected: { kind: 'down', cause: 'checks' },
  },
  {
    name: 'missing from the list but alive',
    evidence: { listStatus: 'missing', lastSuccessAtMs: 9_900 },
    expected: { kind: 'usable' },
  },
  {
    name: 'failing according to the list but alive',
    evidence: { listStatus: 'failing', lastSuccessAtMs: 9_900 },
    expected: { kind: 'usable' },
  },
  {
    name: 'leaving according to the list while its checks succeed',
    evidence: { listStatus: 'leaving', leavingIncarnation: 'start-2', lastSuccessAtMs: 9_900 },
    expected: { kind: 'draining', cause: 'list' },
  },
  {
    name: 'back under the same address while the list still says leaving',
    evidence: { listStatus: 'leaving', leavingIncarnation: 'start-1' },
    expected: { kind: 'usable' },
  },
  {
    name: 'leaving according to its own report',
    evidence: { reportsDraining: true, lastSuccessAtMs: 9_900 },
    expected: { kind: 'draining', cause: 'selfReported' },
  },
  {
    name: 'leaving according to a peer',
    evidence: { peerStatements: [peerStatement({ kind: 'draining' })], lastSuccessAtMs: 9_900 },
    expected: { kind: 'draining', cause: 'peer' },
  },
  {
    name: 'an earlier incarnation was leaving according to a peer',
    evidence: { peerStatements: [peerStatement({ kind: 'draining', incarnation: 'start-1' })] },
    expected: { kind: 'usable' },
  },
  {
    name: 'down according to a peer',
    evidence: { peerStatements: [peerStatement({})], lastSuccessAtMs: 8_000 },
    expected: { kind: 'down', cause: 'peer' },
  },
  {
    name: 'down according to a peer, with a good answer to this instance since',
    evidence: { peerStatements: [peerStatement({})], lastSuccessAtMs: 9_500 },
    expected: { kind: 'usable' },
  },
  {
    name: 'down according to a peer whose statement has expired',
    evidence: { peerStatements: [peerStatement({ expiresAtMs: NOW_MS })] },
    expected: { kind: 'usable' },
  },
];

describe('the health state of a backend server', () => {
  for (const { name, evidence, expected } of cases) {
    it(name, () => {
      assert.deepEqual(evaluateHealth({ ...emptyEvidence, ...evidence }, NOW_MS), expected);
    });
  }

  it('needs one failed check when the list reports failing, missing or leaving, else the configured number', () => {
    const needed = (['unknown', 'passing', 'failing', 'missing', 'leaving'] as const).map(
      (status) => failuresNeeded(status, 3),
    );
    assert.deepEqual(needed, [3, 3, 1, 1, 1]);
  });
});
