import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createLinkChecks } from './link-checks';
import type { CheckInput } from './link-checks';

const SILENT = ['s-1', 's-2', 's-3'].map((incarnationId) => ({ incarnationId, silentMs: 500 }));
const INPUT: CheckInput = { isCut: false, nowMs: 10_000, lastReachedAtMs: 9_500, servers: SILENT };
const TICK_MS = 50;

interface Case {
  readonly name: string;
  readonly input: Partial<CheckInput>;
  readonly due: readonly string[];
}

const CASES: readonly Case[] = [
  { name: 'are sent to two servers if all are silent', input: {}, due: ['s-1', 's-2'] },
  {
    name: 'are not sent while any server is heard',
    input: { lastReachedAtMs: 9_700 },
    due: [],
  },
  {
    name: 'are sent to a silent server and another one if no other has requests in progress',
    input: { servers: [{ incarnationId: 's-9', silentMs: 0 }, ...SILENT.slice(0, 1)] },
    due: ['s-1', 's-9'],
  },
  {
    name: 'are not sent while no request is in progress',
    input: { servers: SILENT.map((server) => ({ ...server, silentMs: 0 })) },
    due: [],
  },
  {
    name: 'are not sent if a request has just begun',
    input: { servers: SILENT.map((server) => ({ ...server, silentMs: 300 })) },
    due: [],
  },
  { name: 'are sent to the only server', input: { servers: SILENT.slice(0, 1) }, due: ['s-1'] },
  { name: 'are not sent without servers', input: { servers: [] }, due: [] },
];

describe('checks of links', () => {
  for (const { name, input, due } of CASES) {
    it(name, () => assert.deepEqual(createLinkChecks().due({ ...INPUT, ...input }), due));
  }

  // Many checks in a cut would be a flood when it ends.
  it('are sent to one server at a time while the links are cut, and to each in turn', () => {
    const checks = createLinkChecks();
    const sent: string[] = [];
    for (let nowMs = 0; nowMs < 3_000; nowMs += TICK_MS) {
      sent.push(...checks.due({ ...INPUT, isCut: true, nowMs }));
    }
    assert.ok(sent.length >= 9 && sent.length <= 11, `${sent.length} checks`);
    assert.deepEqual(new Set(sent), new Set(['s-1', 's-2', 's-3']));
  });
});
