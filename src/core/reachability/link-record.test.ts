import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createLinkRecord } from './link-record';

type Step =
  | { readonly kind: 'reached' | 'failed'; readonly server: string; readonly atMs: number }
  | { readonly kind: 'gone'; readonly server: string };

const reached = (server: string, atMs: number): Step => ({ kind: 'reached', server, atMs });
const failed = (server: string, atMs: number): Step => ({ kind: 'failed', server, atMs });

interface Case {
  readonly name: string;
  readonly known?: number;
  readonly steps: readonly Step[];
  readonly atMs: number;
  readonly isCut: boolean;
}

const CASES: readonly Case[] = [
  { name: 'are not cut at the start', steps: [], atMs: 10_000, isCut: false },
  {
    name: 'are cut if two servers fail and none is reached',
    steps: [reached('s-3', 0), failed('s-1', 100), failed('s-2', 150)],
    atMs: 300,
    isCut: true,
  },
  {
    name: 'are not cut if a single one of many fails again and again',
    steps: [failed('s-1', 100), failed('s-1', 600), failed('s-1', 1_100)],
    atMs: 1_200,
    isCut: false,
  },
  {
    name: 'are cut if the only server fails',
    known: 1,
    steps: [failed('s-1', 100)],
    atMs: 300,
    isCut: true,
  },
  {
    name: 'are not cut if two servers fail while others answer',
    steps: [failed('s-1', 100), reached('s-3', 110), failed('s-2', 120), reached('s-3', 130)],
    atMs: 1_000,
    isCut: false,
  },
  {
    name: 'are not cut within a moment in which two servers fail',
    steps: [reached('s-3', 90), failed('s-1', 100), failed('s-2', 100)],
    atMs: 150,
    isCut: false,
  },
  {
    name: 'are no longer cut once any server is reached',
    steps: [failed('s-1', 100), failed('s-2', 100), reached('s-1', 5_000)],
    atMs: 9_000,
    isCut: false,
  },
  {
    name: 'are not cut if a server that failed has gone',
    steps: [failed('s-1', 100), failed('s-2', 100), { kind: 'gone', server: 's-2' }],
    atMs: 9_000,
    isCut: false,
  },
];

// Guards against an instance that takes a fault of its own links for faults of servers, or the other way round.
describe('the links of an instance to servers', () => {
  for (const { name, known = 5, steps, atMs, isCut } of CASES) {
    it(name, () => {
      const record = createLinkRecord(0);
      for (const step of steps) {
        if (step.kind === 'reached') record.recordReached(step.server, step.atMs);
        else if (step.kind === 'failed') record.recordFailed(step.server);
        else record.keepOnly(new Set(['s-1', 's-2', 's-3'].filter((id) => id !== step.server)));
      }
      assert.equal(record.isCut(known, atMs), isCut);
    });
  }
});
