import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createRouteSelector, createRouteTableStore, pickTarget } from '.';
import type { HostRoute, RouteTable } from '.';

function route(name: string, host: string, pathPrefix: string): HostRoute {
  return {
    name,
    host,
    pathPrefix,
    kind: 'idempotent',
    isResumable: false,
    timeoutMs: 1_000,
    objectiveMs: 500,
    pauseObjectiveMs: undefined,
    priority: 0,
    maxAttempts: 1,
    targets: [{ service: name, weight: 1 }],
    homeRegions: [],
    isPublic: false,
  };
}

function table(version: number, routes: readonly HostRoute[]): RouteTable {
  return {
    version,
    routes,
    services: new Map(),
    limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    accounts: undefined,
  };
}

const ROUTES = [
  route('all', 'a.example', '/'),
  route('plans', 'a.example', '/plans/'),
  route('long plans', 'a.example', '/plans/long/'),
  route('other host', 'b.example', '/plans/'),
];

describe('route selection', () => {
  const selector = createRouteSelector(table(1, ROUTES));
  const cases: readonly (readonly [string, string, string | undefined])[] = [
    ['a.example', '/plans/7', 'plans'],
    ['a.example', '/plans/long/7', 'long plans'],
    ['a.example', '/plans/longer', 'plans'],
    ['a.example', '/plans', 'all'],
    ['A.Example:8080', '/plans/7', 'plans'],
    ['a.example', '/x?to=/plans/', 'all'],
    ['b.example', '/plans/7', 'other host'],
    ['b.example', '/other', undefined],
    ['c.example', '/plans/7', undefined],
  ];
  for (const [host, path, expected] of cases) {
    it(`for ${host}${path} selects ${expected ?? 'none'}`, () => {
      assert.equal(selector.select(host, path)?.name, expected);
    });
  }

  // The routes of one host may be bound to different regions, so that no single region may serve all of them.
  it('returns the regions that the largest number of region-bound routes of a host allow', () => {
    const bound = createRouteSelector(
      table(1, [
        { ...route('free', 'a.example', '/'), homeRegions: [] },
        { ...route('one', 'a.example', '/one/'), homeRegions: ['north', 'south'] },
        { ...route('two', 'a.example', '/two/'), homeRegions: ['south', 'east'] },
        { ...route('other', 'b.example', '/'), homeRegions: ['east'] },
        { ...route('three', 'd.example', '/'), homeRegions: ['north', 'south'] },
        { ...route('four', 'd.example', '/4/'), homeRegions: ['north', 'south'] },
        { ...route('five', 'd.example', '/5/'), homeRegions: ['east'] },
      ]),
    );
    assert.deepEqual(bound.homeRegions('a.example'), ['south']);
    assert.deepEqual(bound.homeRegions('b.example:80'), ['east']);
    assert.deepEqual(bound.homeRegions('c.example'), []);
    assert.deepEqual(bound.homeRegions('d.example'), ['north', 'south']);
  });

  it('distributes requests over the targets by weight', () => {
    const split: HostRoute = {
      ...route('split', 'a.example', '/'),
      targets: [
        { service: 'old', weight: 90 },
        { service: 'new', weight: 10 },
      ],
    };
    assert.equal(pickTarget(split, 0), 'old');
    assert.equal(pickTarget(split, 0.899), 'old');
    assert.equal(pickTarget(split, 0.9), 'new');
    assert.equal(pickTarget(split, 0.999), 'new');
  });
});

describe('the route table in force', () => {
  // An older version may arrive last, by another way. If it were accepted, requests would go to services that were
  // removed from a route.
  it('is replaced only by higher versions', () => {
    const store = createRouteTableStore();
    assert.equal(store.offer(table(5, ROUTES)), true);
    assert.equal(store.offer(table(4, [])), false);
    assert.equal(store.offer(table(5, [])), false);
    assert.equal(store.current()?.table.version, 5);
    assert.equal(store.offer(table(9, [])), true);
    assert.equal(store.current()?.table.version, 9);
  });
});
