/**
 * Compares ways to keep many instances to the limits that servers name: `npm run bench:server-limits`. Each row is one
 * simulation of a region before four servers, all limited, with three times the requests that the limits allow.
 */
import { createServerLimits } from '../../src/core/server-limits';
import { maxInWindow, simulateLimits } from '../../src/core/server-limits/testing/limit-fleet';
import type { FleetFault } from '../../src/core/server-limits/testing/limit-fleet';
import { createChosenSender, createDividedShares } from './policies';

const SERVERS = 4;
const OVERLOAD_FACTOR = 3;
const DURATION_MS = 40_000;
const WINDOW_MS = 4_000;
/** From here on, all instances have settled and know the limits. */
const SPAN = { fromMs: 10_000, toMs: DURATION_MS };

const FLEETS = [1, 6, 30, 80, 300];
const LIMITS = [0.25, 1, 10, 100];
const LOADS = [
  {
    name: 'evenly',
    instanceAt: (count: number) => (_atMs: number, draw: number) => Math.floor(draw * count),
  },
  { name: 'one instance', instanceAt: () => () => 0 },
  {
    name: 'moving',
    instanceAt: (count: number) => (atMs: number) => Math.floor(atMs / 2_000) % count,
  },
];
const WAYS = [
  { way: 'permits', createPolicy: createServerLimits },
  { way: 'chosen sender', createPolicy: createChosenSender },
  { way: 'divided', createPolicy: createDividedShares },
];

function half(count: number): FleetFault[] {
  const all = Array.from({ length: count }, (_unused, index) => index);
  const middle = Math.floor(count / 2);
  return [
    {
      kind: 'cut',
      fromMs: 12_000,
      toMs: 30_000,
      groups: [all.slice(0, middle), all.slice(middle)],
    },
  ];
}

const everyone = (count: number) => Array.from({ length: count }, (_unused, index) => index);

const FAULTS: readonly { name: string; lostShare?: number; of: (count: number) => FleetFault[] }[] =
  [
    { name: 'none', of: () => [] },
    {
      name: 'all restart at once',
      of: (count) => [
        { kind: 'restart', fromMs: 15_000, toMs: 15_005, instances: everyone(count) },
      ],
    },
    {
      name: 'restarts in turn',
      of: (count) =>
        everyone(Math.min(count, 20)).map((instance) => {
          const fromMs = 12_000 + instance * 1_200;
          return { kind: 'restart', fromMs, toMs: fromMs + 5, instances: [instance] };
        }),
    },
    {
      name: 'all paused 3 s',
      of: (count) => [{ kind: 'pause', fromMs: 15_000, toMs: 18_000, instances: everyone(count) }],
    },
    { name: 'half cut off', of: half },
    {
      name: 'one cut from one',
      of: (count) =>
        count < 3 ? [] : [{ kind: 'cut', fromMs: 12_000, toMs: 30_000, groups: [[0], [1]] }],
    },
    { name: 'a fifth lost', lostShare: 0.2, of: () => [] },
  ];

console.log(
  'way | instances | limit | load | faults | most in 4 s | allowed | used | refused | waited | messages/s | bytes/s',
);
const [wayFilter = '', faultFilter = '', only = ''] = process.argv.slice(2);
for (const { way, createPolicy } of WAYS.filter((each) => each.way.includes(wayFilter))) {
  for (const instances of FLEETS.filter(
    (count) => only === '' || only.split(',').includes(String(count)),
  )) {
    for (const limit of LIMITS) {
      for (const { name: load, instanceAt } of LOADS) {
        for (const fault of FAULTS.filter(({ name }) => name.includes(faultFilter))) {
          if (fault.name !== 'none' && (way !== 'permits' || load === 'moving')) continue;
          const result = simulateLimits({
            instances,
            limits: Array.from({ length: SERVERS }, () => () => limit),
            requestsPerSecond: limit * SERVERS * OVERLOAD_FACTOR,
            instanceAt: instanceAt(instances),
            durationMs: DURATION_MS,
            faults: fault.of(instances),
            lostShare: fault.lostShare ?? 0,
            createPolicy,
          });
          const { sent, requests, refused, waited, messages, messageBytes } = result;
          const most = Math.max(
            ...Array.from({ length: SERVERS }, (_unused, server) =>
              maxInWindow(sent, server, WINDOW_MS, SPAN),
            ),
          );
          const ran = sent.filter(
            ({ atMs, isHealthCheck }) => !isHealthCheck && atMs >= SPAN.fromMs,
          );
          const used = ran.length / ((limit * SERVERS * (SPAN.toMs - SPAN.fromMs)) / 1_000);
          const perSecond = (total: number) =>
            (total / instances / (DURATION_MS / 1_000)).toFixed(1);
          const allowed = limit * 1.5 * 4 + 5;
          const mark = most > allowed ? ' !' : '';
          console.log(
            [
              way,
              instances,
              limit,
              load,
              fault.name,
              `${most}${mark}`,
              allowed,
              used.toFixed(2),
              (refused / requests).toFixed(2),
              (waited / requests).toFixed(2),
              perSecond(messages),
              perSecond(messageBytes),
            ].join(' | '),
          );
        }
      }
    }
  }
}
