import { runScenario } from './harness';
import { schedulerPolicy } from './policies/scheduler-policy';
import { callerOf, drawLong, oneRegion } from './scenarios/fleet';
import { hashText } from '../../src/core/routing/hash-ring';

const base = oneRegion('t', { durationMs: 120_000 });
const S = Number(process.argv[2] ?? 36);
const L = Number(process.argv[3] ?? 1.25);
const scenario = {
  ...base,
  callers: [
    callerOf('s', {
      deadlineMs: 40_000,
      arrivals: [{ fromMs: 0, untilMs: 120_000, perSecond: S }],
    }),
    callerOf('l', {
      className: 'long',
      priority: 'batch',
      drawWork: drawLong,
      deadlineMs: 120_000,
      arrivals: [{ fromMs: 0, untilMs: 120_000, perSecond: L }],
    }),
  ],
};
const stats = new Map<string, { n: number; lat: number; ft: number }>();
const inner = schedulerPolicy();
const factory = {
  name: 'x',
  create(setup: any) {
    const p = inner.create(setup);
    return {
      ...p,
      onAttemptEnd(r: any, e: any) {
        if (e.kind === 'answered') {
          const k = `${e.serverId} ${r.priority}`;
          const s = stats.get(k) ?? { n: 0, lat: 0, ft: 0 };
          stats.set(k, s);
          s.n += 1;
          s.lat += e.latencyMs;
          s.ft += e.firstTokenMs;
        }
        p.onAttemptEnd(r, e);
      },
    };
  },
};
const r = runScenario(scenario, factory as any);
for (const c of r.classes.values())
  console.log(
    c.className,
    c.offered,
    c.answered,
    c.refused,
    c.latency,
    c.firstToken,
    c.longestWaitMs,
  );
const order = scenario.servers.map((s) => s.serverId).sort((a, b) => hashText(a) - hashText(b));
for (const id of order)
  for (const k of ['interactive', 'batch']) {
    const s = stats.get(`${id} ${k}`);
    if (s) console.log(id, k, s.n, (s.lat / s.n).toFixed(0), (s.ft / s.n).toFixed(0));
  }
