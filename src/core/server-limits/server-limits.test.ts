import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { maxInWindow, simulateLimits } from './testing/limit-fleet';
import type { FleetFault, LimitFleetOptions } from './testing/limit-fleet';

const WINDOW_MS = 4_000;
const DURATION_MS = 30_000;
/** From here on, every instance has settled and has been told of the limits. */
const SPAN = { fromMs: 10_000, toMs: DURATION_MS };
const SERVERS = 4;
const OVERLOAD_FACTOR = 3;
const LIMITS = [0.25, 1, 10, 100];
const MS_PER_S = 1_000;
/** Least share of the limits that is used. */
const MIN_USED = 0.7;
/** The same while faults last: at worst, half of the instances grant half of the limits. */
const MIN_USED_WITH_FAULTS = MIN_USED / 2;

/** Requests in 4 s above which a server with this limit is overloaded. */
const maxAllowed = (perSecond: number) => perSecond * 1.5 * 4 + 5;
const allOf = (count: number) => Array.from({ length: count }, (_unused, index) => index);
const repeated = (perSecond: number) => allOf(SERVERS).map(() => () => perSecond);

const LOADS = [
  {
    name: 'callers at all instances',
    instanceAt: (count: number) => (_atMs: number, draw: number) => Math.floor(draw * count),
  },
  { name: 'all callers at one instance', instanceAt: () => () => 0 },
  {
    name: 'callers that move',
    instanceAt: (count: number) => (atMs: number) => Math.floor(atMs / 2_000) % count,
  },
];

function simulate(
  perSecond: number,
  options: Pick<LimitFleetOptions, 'instances' | 'instanceAt'> & Partial<LimitFleetOptions>,
) {
  return simulateLimits({
    limits: repeated(perSecond),
    requestsPerSecond: perSecond * SERVERS * OVERLOAD_FACTOR,
    durationMs: DURATION_MS,
    ...options,
  });
}

function assertHeld({ sent }: ReturnType<typeof simulateLimits>, perSecond: number): void {
  for (const server of allOf(SERVERS)) {
    const max = maxInWindow(sent, server, WINDOW_MS, SPAN);
    assert.ok(max <= maxAllowed(perSecond), `${max} of ${maxAllowed(perSecond)} in 4 s`);
  }
}

function usedShare({ sent }: ReturnType<typeof simulateLimits>, perSecond: number): number {
  const requests = sent.filter(
    ({ atMs, isHealthCheck }) => !isHealthCheck && atMs >= SPAN.fromMs && atMs < SPAN.toMs,
  );
  const allowed = (perSecond * SERVERS * (SPAN.toMs - SPAN.fromMs)) / MS_PER_S;
  return requests.length / allowed;
}

/** Sizes of the fleet for each limit; the largest fleets with the limits that are the hardest to divide. */
const FLEETS = new Map([
  [0.25, [1, 6, 30, 300]],
  [1, [1, 6, 30, 80]],
  [10, [1, 6, 30]],
  [100, [1, 6, 300]],
]);

// Guards against sending a server its limit once for each instance, and against leaving unused what it takes because
// each instance has only a fraction of it.
describe('servers that are all limited, with three times the requests that they take', () => {
  for (const perSecond of LIMITS) {
    for (const instances of FLEETS.get(perSecond) ?? []) {
      for (const { name, instanceAt } of LOADS) {
        it(`are kept busy within ${perSecond} a second, ${name}, ${instances} instances`, () => {
          const durationMs = perSecond === 100 && instances === 300 ? 16_000 : DURATION_MS;
          const result = simulate(perSecond, {
            instances,
            instanceAt: instanceAt(instances),
            durationMs,
          });
          assertHeld(result, perSecond);
          if (durationMs === DURATION_MS) assert.ok(usedShare(result, perSecond) >= MIN_USED);
        });
      }
    }
  }
});

const FAULTS: readonly {
  readonly name: string;
  readonly lostShare?: number;
  readonly faultsOf: (count: number) => readonly FleetFault[];
}[] = [
  {
    name: 'all instances restart at once',
    faultsOf: (count) => [
      { kind: 'restart', fromMs: 12_000, toMs: 12_005, instances: allOf(count) },
    ],
  },
  {
    name: 'instances restart in turn',
    faultsOf: (count) =>
      allOf(count).map((instance) => {
        const fromMs = 11_000 + instance * 500;
        return { kind: 'restart', fromMs, toMs: fromMs + 5, instances: [instance] };
      }),
  },
  {
    name: 'all instances are paused for 3 s',
    faultsOf: (count) => [{ kind: 'pause', fromMs: 12_000, toMs: 15_000, instances: allOf(count) }],
  },
  {
    name: 'a third of the instances is paused for 3 s',
    faultsOf: (count) => [
      { kind: 'pause', fromMs: 12_000, toMs: 15_000, instances: allOf(Math.ceil(count / 3)) },
    ],
  },
  {
    name: 'half of the instances is cut off from the others',
    faultsOf: (count) => {
      const [some, others] = [allOf(Math.floor(count / 2)), allOf(count).slice(count / 2)];
      return [{ kind: 'cut', fromMs: 11_000, toMs: 25_000, groups: [some, others] }];
    },
  },
  {
    name: 'one instance is cut off from one other',
    faultsOf: () => [{ kind: 'cut', fromMs: 11_000, toMs: 25_000, groups: [[0], [1]] }],
  },
  { name: 'a fifth of the messages is lost', lostShare: 0.2, faultsOf: () => [] },
];

// Guards against two instances that each grant the whole limit of a server, as while one of them is considered dead by
// others, and against permits that are used long after they were granted.
describe('the limit of a server', () => {
  for (const { name, lostShare, faultsOf } of FAULTS) {
    for (const perSecond of LIMITS) {
      for (const instances of perSecond === 100 ? [6] : [6, 30]) {
        for (const load of LOADS.slice(0, 2)) {
          it(`of ${perSecond} a second holds if ${name}, ${load.name}, ${instances} instances`, () => {
            const result = simulate(perSecond, {
              instances,
              instanceAt: load.instanceAt(instances),
              faults: faultsOf(instances),
              ...(lostShare === undefined ? {} : { lostShare }),
            });
            assertHeld(result, perSecond);
            assert.ok(usedShare(result, perSecond) >= MIN_USED_WITH_FAULTS);
          });
        }
      }
    }
  }
});

// Guards against refusals beside servers that have room, and against a server that is left alone after its limit has
// ended, or that gets a burst then.
describe('one limited server among others', () => {
  const limitedUntilMs = 16_000;
  const perSecond = 1;
  const requestsPerSecond = 60;
  const limits = [
    (atMs: number) => (atMs < limitedUntilMs ? perSecond : undefined),
    ...allOf(SERVERS - 1).map(() => () => undefined),
  ];

  for (const instances of [6, 80]) {
    for (const { name, instanceAt } of LOADS) {
      it(`costs no request, and gets its usual share 3 s after its limit, ${name}, ${instances} instances`, () => {
        const result = simulateLimits({
          instances,
          limits,
          requestsPerSecond,
          instanceAt: instanceAt(instances),
          durationMs: 24_000,
        });
        assert.equal(result.refused, 0);
        const during = { fromMs: 10_000, toMs: limitedUntilMs };
        assert.ok(maxInWindow(result.sent, 0, WINDOW_MS, during) <= maxAllowed(perSecond));
        const after = { fromMs: limitedUntilMs + 3_000, toMs: 24_000 };
        const toServer = ({ server, atMs }: { server: number; atMs: number }) =>
          server === 0 && atMs >= after.fromMs;
        const usual = (requestsPerSecond / SERVERS) * 5;
        const got = result.sent.filter(toServer).length;
        assert.ok(got >= usual * 0.6 && got <= usual * 1.5, `${got} of ${usual}`);
      });
    }
  }

  it('gets no request while it takes none, and is used again once it takes requests', () => {
    const result = simulateLimits({
      instances: 6,
      limits: [(atMs) => (atMs < limitedUntilMs ? 0 : undefined), () => undefined],
      requestsPerSecond,
      instanceAt: () => 0,
      durationMs: 24_000,
    });
    const requests = result.sent.filter(
      ({ server, isHealthCheck }) => server === 0 && !isHealthCheck,
    );
    assert.equal(requests.filter(({ atMs }) => atMs > 6_000 && atMs < limitedUntilMs).length, 0);
    assert.ok(requests.some(({ atMs }) => atMs > limitedUntilMs && atMs < limitedUntilMs + 4_000));
  });
});

// Guards against a rate that lags behind what the server names now.
describe('a limit that changes with each answer', () => {
  it('is followed', () => {
    const perSecondAt = (atMs: number) => (Math.floor(atMs / 5_000) % 2 === 0 ? 2 : 20);
    const { sent } = simulateLimits({
      instances: 6,
      limits: [perSecondAt],
      requestsPerSecond: 60,
      instanceAt: (_atMs, draw) => Math.floor(draw * 6),
      durationMs: DURATION_MS,
    });
    const spans = [
      { fromMs: 21_000, toMs: 25_000, perSecond: 2 },
      { fromMs: 26_000, toMs: 30_000, perSecond: 20 },
    ];
    for (const { perSecond, ...span } of spans) {
      const got = sent.filter(({ atMs }) => atMs >= span.fromMs && atMs < span.toMs).length;
      assert.ok(
        got <= maxAllowed(perSecond) && got >= perSecond * 4 * 0.7,
        `${got} at ${perSecond}`,
      );
    }
  });
});
