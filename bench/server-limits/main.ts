/**
 * Compares ways to keep many instances to the limits that servers name: `npm run bench:server-limits -- --instances 6,30
 * --way permits --fault none`. Each row is one simulation of a region before four servers, all limited, with three times
 * the requests that the limits allow. Nothing is timed, so each run prints the same.
 */
import { parseArgs } from 'node:util';
import { createServerLimits } from '../../src/core/server-limits';
import { maxInWindow, simulateLimits } from '../../src/core/server-limits/testing/limit-fleet';
import type {
  CreateLimitPolicy,
  FleetFault,
  LimitFleetOptions,
} from '../../src/core/server-limits/testing/limit-fleet';
import { createChosenSender, createDividedShares } from './policies';

const SERVERS = 4;
const OVERLOAD_FACTOR = 3;
const DURATION_MS = 40_000;
const WINDOW_MS = 4_000;
const MS_PER_S = 1_000;
/** From here on, all instances have settled and know the limits. */
const SPAN = { fromMs: 10_000, toMs: DURATION_MS };
const FLEETS = [1, 6, 30, 80, 300];
const LIMITS = [0.25, 1, 10, 100];

type InstanceAt = LimitFleetOptions['instanceAt'];

const LOADS: readonly { readonly load: string; readonly of: (count: number) => InstanceAt }[] = [
  { load: 'evenly', of: (count) => (_atMs, draw) => Math.floor(draw * count) },
  { load: 'one instance', of: () => () => 0 },
  { load: 'moving', of: (count) => (atMs) => Math.floor(atMs / 2_000) % count },
];

const WAYS: readonly { readonly way: string; readonly createPolicy: CreateLimitPolicy }[] = [
  { way: 'permits', createPolicy: createServerLimits },
  { way: 'chosen sender', createPolicy: createChosenSender },
  { way: 'divided', createPolicy: createDividedShares },
];

const allOf = (count: number) => Array.from({ length: count }, (_unused, index) => index);

interface FaultScenario {
  readonly fault: string;
  readonly lostShare?: number;
  readonly of: (count: number) => readonly FleetFault[];
}

const FAULTS: readonly FaultScenario[] = [
  { fault: 'none', of: () => [] },
  {
    fault: 'all restart at once',
    of: (count) => [{ kind: 'restart', fromMs: 15_000, toMs: 15_005, instances: allOf(count) }],
  },
  {
    fault: 'restarts in turn',
    of: (count) =>
      allOf(Math.min(count, 20)).map((instance) => {
        const fromMs = 12_000 + instance * 1_200;
        return { kind: 'restart', fromMs, toMs: fromMs + 5, instances: [instance] };
      }),
  },
  {
    fault: 'all paused for 3 s',
    of: (count) => [{ kind: 'pause', fromMs: 15_000, toMs: 18_000, instances: allOf(count) }],
  },
  {
    fault: 'halves cut off',
    of(count) {
      const middle = Math.floor(count / 2);
      const groups = [allOf(count).slice(0, middle), allOf(count).slice(middle)];
      return [{ kind: 'cut', fromMs: 12_000, toMs: 30_000, groups }];
    },
  },
  {
    fault: 'one cut off from one',
    of: () => [{ kind: 'cut', fromMs: 12_000, toMs: 30_000, groups: [[0], [1]] }],
  },
  { fault: 'a fifth of messages lost', lostShare: 0.2, of: () => [] },
];

interface Row {
  readonly way: string;
  readonly createPolicy: CreateLimitPolicy;
  readonly instances: number;
  readonly limit: number;
  readonly load: string;
  readonly instanceAt: InstanceAt;
  readonly scenario: FaultScenario;
}

function printRow({ way, createPolicy, instances, limit, load, instanceAt, scenario }: Row): void {
  const { sent, requests, refused, waited, messages, messageBytes } = simulateLimits({
    instances,
    limits: allOf(SERVERS).map(() => () => limit),
    requestsPerSecond: limit * SERVERS * OVERLOAD_FACTOR,
    instanceAt,
    durationMs: DURATION_MS,
    faults: scenario.of(instances),
    lostShare: scenario.lostShare ?? 0,
    createPolicy,
  });
  const most = Math.max(
    ...allOf(SERVERS).map((server) => maxInWindow(sent, server, WINDOW_MS, SPAN)),
  );
  const allowed = (limit * 1.5 * WINDOW_MS) / MS_PER_S + 5;
  const ran = sent.filter(({ atMs, isHealthCheck }) => !isHealthCheck && atMs >= SPAN.fromMs);
  const used = ran.length / ((limit * SERVERS * (SPAN.toMs - SPAN.fromMs)) / MS_PER_S);
  const perInstance = (total: number) => total / instances / (DURATION_MS / MS_PER_S);
  console.log(
    [
      way,
      instances,
      limit,
      load,
      scenario.fault,
      most > allowed ? `${most} (over)` : most,
      allowed,
      used.toFixed(2),
      (refused / requests).toFixed(2),
      (waited / requests).toFixed(2),
      perInstance(messages).toFixed(1),
      Math.round(perInstance(messageBytes)),
    ].join(' | '),
  );
}

const { values } = parseArgs({
  options: {
    way: { type: 'string', default: '' },
    fault: { type: 'string', default: '' },
    instances: { type: 'string', default: FLEETS.join(',') },
  },
});

console.log(
  'way | instances | limit | load | fault | most in 4 s | allowed | used | refused | waited | messages/s | bytes/s',
);
for (const instances of values.instances.split(',').map(Number)) {
  for (const limit of LIMITS) {
    for (const { load, of } of LOADS) {
      for (const scenario of FAULTS.filter(({ fault }) => fault.startsWith(values.fault))) {
        for (const { way, createPolicy } of WAYS.filter((each) =>
          each.way.startsWith(values.way),
        )) {
          const instanceAt = of(instances);
          printRow({ way, createPolicy, instances, limit, load, instanceAt, scenario });
        }
      }
    }
  }
}
