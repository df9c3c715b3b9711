import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createHealthTable } from './health-table';
import { SLOW_START_MIN_SHARE } from './slow-start';
import { checkedServer } from './testing/checked-server';
import type { ServerObservation } from './types';

const server = (serverId: string, address = '10.0.0.1:80') =>
  checkedServer(serverId, address, { slowStartMs: 10_000 });

const healthy = (incarnation?: string): ServerObservation => ({ kind: 'healthy', incarnation });
const draining = (incarnation?: string): ServerObservation => ({ kind: 'draining', incarnation });
const failed: ServerObservation = { kind: 'failed', reason: 'refused' };

interface Step {
  readonly atMs: number;
  readonly observation: ServerObservation;
  readonly share: number;
}

interface Case {
  readonly name: string;
  readonly steps: readonly Step[];
}

const cases: readonly Case[] = [
  {
    name: 'goes down at the second failure and has a slow start after two good checks',
    steps: [
      { atMs: 1_000, observation: failed, share: 1 },
      { atMs: 2_000, observation: failed, share: 0 },
      { atMs: 3_000, observation: healthy(), share: 0 },
      { atMs: 4_000, observation: healthy(), share: SLOW_START_MIN_SHARE },
      { atMs: 9_000, observation: healthy(), share: 0.5 },
      { atMs: 20_000, observation: healthy(), share: 1 },
    ],
  },
  {
    name: 'one failure between good checks changes nothing',
    steps: [
      { atMs: 1_000, observation: failed, share: 1 },
      { atMs: 2_000, observation: healthy(), share: 1 },
      { atMs: 3_000, observation: failed, share: 1 },
    ],
  },
  {
    // A server's own report needs no confirmation: waiting for a second answer would only send it more work.
    name: 'gets no work from its own first report of draining on',
    steps: [{ atMs: 1_000, observation: draining(), share: 0 }],
  },
  {
    // The new process answers its first check like the old one, but its cache is empty.
    name: 'has a slow start when another incarnation answers under the same address',
    steps: [
      { atMs: 1_000, observation: healthy('start-1'), share: 1 },
      { atMs: 2_000, observation: draining('start-1'), share: 0 },
      { atMs: 3_000, observation: healthy('start-2'), share: SLOW_START_MIN_SHARE },
      { atMs: 8_000, observation: healthy('start-2'), share: 0.5 },
    ],
  },
];

describe('the table of backend servers', () => {
  for (const { name, steps } of cases) {
    it(name, () => {
      const table = createHealthTable(() => {});
      table.replaceServers([server('engine-1')], 0);
      for (const { atMs, observation, share } of steps) {
        table.observe('engine-1', observation, atMs);
        assert.equal(table.share('engine-1', atMs), share, `at ${atMs} ms`);
      }
    });
  }

  it('gives a slow start only to a server that a later configuration adds or moves', () => {
    const table = createHealthTable(() => {});
    table.replaceServers([server('engine-1'), server('engine-2')], 0);
    table.replaceServers(
      [server('engine-1'), server('engine-2', '10.0.0.2:80'), server('engine-3')],
      5_000,
    );
    const shares = ['engine-1', 'engine-2', 'engine-3'].map((id) => table.share(id, 5_000));
    assert.deepEqual(shares, [1, SLOW_START_MIN_SHARE, SLOW_START_MIN_SHARE]);
  });

  it('reports each change of health state once', () => {
    const changes: string[] = [];
    const table = createHealthTable(({ serverId }, { kind }) =>
      changes.push(`${serverId} ${kind}`),
    );
    table.replaceServers([server('engine-1')], 0);
    for (const atMs of [1, 2, 3]) table.observe('engine-1', failed, atMs);
    for (const atMs of [4, 5, 6]) table.observe('engine-1', healthy(), atMs);
    assert.deepEqual(changes, ['engine-1 down', 'engine-1 usable']);
  });

  it('lists only servers with evidence against them as needing attention', () => {
    const table = createHealthTable(() => {});
    table.replaceServers([server('engine-1'), server('engine-2')], 0);
    table.observe('engine-1', healthy(), 1);
    table.observe('engine-2', failed, 1);
    assert.deepEqual(
      table.serversNeedingAttention().map(({ serverId }) => serverId),
      ['engine-2'],
    );
  });
});
