/**
 * Compares ways to treat servers that refuse requests at once: `npm run bench:refusing-servers`. Each row is one
 * simulation of a region. Nothing is timed, so each run prints the same.
 */
import { createRefusals } from '../../src/core/server-notices';
import {
  servedShare,
  simulateRefusals,
} from '../../src/core/pass-through/testing/simulate-refusals';
import type {
  RefusalLoad,
  ServerConduct,
} from '../../src/core/pass-through/testing/simulate-refusals';
import { createAvoidance } from './avoidance';
import { createIgnoredRefusals, createRatedRefusals } from './rated-refusals';

type Conduct = (atMs: number) => ServerConduct;

const takes: Conduct = () => ({ kind: 'takes' });
const refusesAll =
  (pauseMs?: number): Conduct =>
  () => ({ kind: 'refusesAll', pauseMs });
const DURATION_MS = 20_000;
const SETTLED_MS = 2_000;
const RECOVERY_AT_MS = 10_000;
const recovers: Conduct = (atMs) =>
  atMs < RECOVERY_AT_MS ? { kind: 'refusesAll', pauseMs: undefined } : { kind: 'takes' };

const PATTERNS: readonly {
  readonly pattern: string;
  readonly servers: readonly Conduct[];
  /** Load as a share of what the servers that take requests can do. */
  readonly load: number;
}[] = [
  {
    pattern: 'one of five, 3 s',
    servers: [refusesAll(3_000), takes, takes, takes, takes],
    load: 0.2,
  },
  { pattern: 'one of five', servers: [refusesAll(), takes, takes, takes, takes], load: 0.2 },
  {
    pattern: 'one of five, near full',
    servers: [refusesAll(), takes, takes, takes, takes],
    load: 0.9,
  },
  { pattern: 'two of five', servers: [refusesAll(), refusesAll(), takes, takes, takes], load: 0.2 },
  { pattern: 'one of two', servers: [refusesAll(), takes], load: 0.2 },
  {
    pattern: 'one in three',
    servers: [() => ({ kind: 'refusesShare', share: 1 / 3 }), takes, takes, takes, takes],
    load: 0.2,
  },
  {
    pattern: 'long prompts',
    servers: [() => ({ kind: 'refusesLong', fromTokens: 5_000 }), takes, takes, takes, takes],
    load: 0.2,
  },
  { pattern: 'one recovers', servers: [recovers, takes, takes, takes, takes], load: 0.2 },
  { pattern: 'all, then none', servers: Array.from({ length: 5 }, () => recovers), load: 0.2 },
  { pattern: 'none, over full', servers: [takes, takes, takes, takes, takes], load: 1.2 },
  { pattern: 'none', servers: [takes, takes, takes, takes, takes], load: 0.9 },
];
const WAYS: readonly { readonly way: string; readonly create: RefusalLoad['createRefusals'] }[] = [
  { way: 'before', create: createIgnoredRefusals },
  { way: 'rating', create: createRatedRefusals },
  { way: 'avoidance', create: createAvoidance },
  { way: 'adopted', create: createRefusals },
];
const FLEETS = [1, 6, 30, 300];
/** Requests per second that one server can do. */
const SERVER_PER_SECOND = 160;

for (const { pattern, servers, load } of PATTERNS) {
  const able = servers.filter((conduct) => conduct(DURATION_MS).kind !== 'refusesAll').length;
  for (const instances of FLEETS) {
    const cells = WAYS.map(({ way, create }) => {
      const run = simulateRefusals({
        seed: 1,
        instances,
        servers,
        perSecond: able * SERVER_PER_SECOND * load,
        durationMs: instances === 300 ? DURATION_MS / 2 + 3_000 : DURATION_MS,
        createRefusals: create,
        singleAttemptShare: 0.5,
      });
      const endMs = instances === 300 ? DURATION_MS / 2 + 3_000 : DURATION_MS;
      const span = pattern.startsWith('all')
        ? { fromMs: RECOVERY_AT_MS + 500 }
        : { fromMs: SETTLED_MS };
      const atFirst = (run.arrivals[0] ?? []).filter((atMs) => atMs >= SETTLED_MS).length;
      const perSecond = (atFirst * 1_000) / (endMs - SETTLED_MS);
      const waitsMs = run.calls.map(({ retryAfterMs }) => retryAfterMs ?? 0);
      const maxWaitMs = waitsMs.reduce((left, right) => Math.max(left, right), 0);
      return `${way} ${servedShare(run, span).toFixed(3)} ${perSecond.toFixed(1)}/s ${Math.round(maxWaitMs)}`;
    });
    process.stdout.write(`${pattern} | ${instances} | ${cells.join(' | ')}\n`);
  }
}
