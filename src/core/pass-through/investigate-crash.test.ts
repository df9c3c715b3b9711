import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { KnownServer } from '../server-registry';
import { createCrashInvestigations } from './investigate-crash';
import type { DecidedVerdict } from './investigate-crash';
import type { WarmCheckResult } from './warm-check';

const CHECK_TIMEOUT_MS = 400;
const ANSWERED: WarmCheckResult = { kind: 'warm' };
const REFUSED: WarmCheckResult = { kind: 'unanswered', saw: 'refused', reason: '' };
const NO_ANSWER: WarmCheckResult = { kind: 'unanswered', saw: 'noAnswer', reason: '' };
const SILENT: WarmCheckResult = { kind: 'unanswered', saw: 'silent', reason: '' };

const knownServer = (serverId: string): KnownServer => ({
  serverId,
  incarnationId: `${serverId}#1`,
  region: 'north',
  failureDomain: `domain-${serverId}`,
  service: 'app',
  address: `${serverId}:80`,
  slots: 8,
  isDraining: false,
  coldUntilMs: 0,
  softwareVersion: '1',
  startedAtUnixMs: undefined,
});

/** Runs an investigation of a server that the checks find as `at` says; returns the verdicts and their times. */
function investigate(
  at: (serverId: string, nowMs: number) => WarmCheckResult,
  untilMs: number,
): readonly { readonly verdict: DecidedVerdict; readonly atMs: number }[] {
  let nowMs = 0;
  const due: { readonly atMs: number; run(): void }[] = [];
  const servers = [knownServer('broken'), knownServer('other')];
  const verdicts: { verdict: DecidedVerdict; atMs: number }[] = [];
  const investigations = createCrashInvestigations({
    clock: { monotonicMs: () => nowMs },
    region: 'north',
    servers: { all: () => servers, get: (id) => servers.find(({ serverId }) => serverId === id) },
    warmCheck: {
      ask({ serverId }, _maxConnections, onResult) {
        const result = at(serverId, nowMs);
        const waitMs = result === SILENT ? CHECK_TIMEOUT_MS : 0;
        due.push({ atMs: nowMs + waitMs, run: () => onResult(result) });
        return { abort() {} };
      },
    },
    lastReachedAtMs: () => undefined,
    draw: () => 0.5,
  });
  const [broken] = servers;
  assert.ok(broken !== undefined);
  investigations.begin(broken, 4, (verdict) => verdicts.push({ verdict, atMs: nowMs }));
  for (; nowMs < untilMs; nowMs += 50) {
    for (const task of due.splice(0)) {
      if (task.atMs <= nowMs) task.run();
      else due.push(task);
    }
    investigations.runDue();
  }
  return verdicts;
}

interface Case {
  readonly name: string;
  readonly at: (serverId: string, nowMs: number) => WarmCheckResult;
  readonly verdict: DecidedVerdict;
  /** Latest time of the verdict, ms. */
  readonly maxMs: number;
}

const CASES: readonly Case[] = [
  {
    name: 'that refuses connections is convicted at once',
    at: (id) => (id === 'broken' ? REFUSED : ANSWERED),
    verdict: { kind: 'crashed', evidence: 'aloneUnreachable' },
    maxMs: 200,
  },
  {
    name: 'that answers checks with what is no answer is not convicted',
    at: (id) => (id === 'broken' ? NO_ANSWER : ANSWERED),
    verdict: { kind: 'notCrashed' },
    maxMs: 200,
  },
  {
    name: 'that is silent for 4 s and then answers is not convicted',
    at: (id, nowMs) => (id === 'broken' && nowMs < 4_000 ? SILENT : ANSWERED),
    verdict: { kind: 'notCrashed' },
    maxMs: 5_000,
  },
  {
    name: 'that is silent for 1 s and then refuses connections is convicted then',
    at: (id, nowMs) => {
      if (id !== 'broken') return ANSWERED;
      return nowMs < 1_000 ? SILENT : REFUSED;
    },
    verdict: { kind: 'crashed', evidence: 'aloneUnreachable' },
    maxMs: 2_000,
  },
  {
    name: 'that stays silent is convicted before the investigation ends',
    at: (id) => (id === 'broken' ? SILENT : ANSWERED),
    verdict: { kind: 'crashed', evidence: 'aloneSilent' },
    maxMs: 9_500,
  },
  {
    name: 'that stays silent is not convicted if the others were silent meanwhile as well',
    at: (id, nowMs) => (id === 'broken' || (nowMs >= 4_000 && nowMs < 6_000) ? SILENT : ANSWERED),
    verdict: { kind: 'notCrashed' },
    maxMs: 10_500,
  },
];

// Guards against harmless requests that are refused as the cause of crashes, because a sound server stood still.
describe('a server that broke a connection and', () => {
  for (const { name, at, verdict, maxMs } of CASES) {
    it(name, () => {
      const verdicts = investigate(at, 12_000);
      assert.deepEqual(
        verdicts.map((one) => one.verdict),
        [verdict],
      );
      assert.ok(verdicts.every(({ atMs }) => atMs <= maxMs));
    });
  }
});
