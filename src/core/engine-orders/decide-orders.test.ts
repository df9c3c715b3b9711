import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { decideOrders } from './decide-orders';
import type { EngineSight, PlacementPlan, PresentModel } from './types';

type Slot = readonly [name: string, version: string, state?: 'loading'];

/** An engine: its slots, what it has, and what it is to have. */
interface EngineCase {
  readonly slots?: number;
  readonly has: readonly Slot[];
  readonly wants: readonly Slot[];
  /** Did not answer the look. */
  readonly unseen?: boolean;
}

interface Case {
  readonly name: string;
  readonly engines: Readonly<Record<string, EngineCase>>;
  readonly counts: Readonly<Record<string, number>>;
  readonly loadsLeft?: number;
  readonly orders: readonly string[];
  readonly blocked?: readonly string[];
}

const present = ([name, version, state]: Slot): PresentModel => ({
  name,
  kind: 'adapter',
  version,
  state: state ?? 'loaded',
  loadAgeMs: undefined,
});

function toInput({ engines, counts, loadsLeft }: Case) {
  const plan: PlacementPlan = {
    configurationVersion: 7,
    engines: Object.entries(engines).map(([engineId, { slots, wants }]) => ({
      engine: { engineId, address: '', modelSlots: slots ?? 2, refusesOldFencing: true },
      models: wants.map(([name, version]) => ({ name, kind: 'adapter', version, source: '' })),
      role: undefined,
    })),
    wantedCounts: new Map(Object.entries(counts)),
    wantedRoles: new Set(),
  };
  const sights = new Map<string, EngineSight>(
    Object.entries(engines)
      .filter(([, { unseen }]) => unseen !== true)
      .map(([engineId, { has }]) => [
        engineId,
        { engineId, models: has.map(present), role: 'mixed', fencingNumber: 0 },
      ]),
  );
  return { plan, sights, loadsLeft: loadsLeft ?? 10 };
}

const cases: readonly Case[] = [
  {
    name: 'nothing to do',
    engines: { a: { has: [['kit', 'v1']], wants: [['kit', 'v1']] } },
    counts: { kit: 1 },
    orders: [],
  },
  {
    name: 'loads what is missing, as many as the weight store allows',
    engines: {
      a: { has: [], wants: [['kit', 'v1']] },
      b: { has: [], wants: [['kit', 'v1']] },
      c: { has: [], wants: [['kit', 'v1']] },
    },
    counts: { kit: 3 },
    loadsLeft: 2,
    orders: ['a load kit v1', 'b load kit v1'],
  },
  {
    name: 'gives no order to an engine that was not seen',
    engines: { a: { has: [], wants: [['kit', 'v1']], unseen: true } },
    counts: { kit: 1 },
    orders: [],
  },
  {
    // Were all engines to drop the old version at once, callers would be refused until the first load ends.
    name: 'takes one engine at a time through a change of version',
    engines: {
      a: { has: [['kit', 'v1']], wants: [['kit', 'v2']] },
      b: { has: [['kit', 'v1']], wants: [['kit', 'v2']] },
      c: { has: [['kit', 'v1']], wants: [['kit', 'v2']] },
    },
    counts: { kit: 3 },
    orders: ['a unload kit'],
  },
  {
    name: 'waits while the next version loads and too few others serve',
    engines: {
      a: { has: [['kit', 'v2', 'loading']], wants: [['kit', 'v2']] },
      b: { has: [['kit', 'v1']], wants: [['kit', 'v2']] },
    },
    counts: { kit: 2 },
    orders: [],
  },
  {
    name: 'loads a stand-in elsewhere before the only engine with a name changes its version',
    engines: {
      a: { has: [['kit', 'v1']], wants: [['kit', 'v2']] },
      b: { has: [], wants: [] },
    },
    counts: { kit: 1 },
    orders: ['b load kit v2'],
  },
  {
    name: 'leaves the only engine as it is when nothing can stand in',
    engines: { a: { has: [['kit', 'v1']], wants: [['kit', 'v2']] } },
    counts: { kit: 1 },
    orders: [],
    blocked: ['kit'],
  },
  {
    name: 'removes the stand-in when it is needed no longer',
    engines: {
      a: { has: [['kit', 'v2']], wants: [['kit', 'v2']] },
      b: { has: [['kit', 'v2']], wants: [] },
    },
    counts: { kit: 1 },
    orders: ['b unload kit'],
  },
  {
    name: 'keeps a name where it is until the engine that is to have it serves it',
    engines: {
      a: { has: [['kit', 'v1', 'loading']], wants: [['kit', 'v1']] },
      b: { has: [['kit', 'v1']], wants: [] },
    },
    counts: { kit: 1 },
    orders: [],
  },
  {
    name: 'unloads what nobody wants any more, also from its last engine',
    engines: { a: { has: [['old', 'v1']], wants: [] } },
    counts: {},
    orders: ['a unload old'],
  },
  {
    name: 'says so when two full engines would have to swap their only copies',
    engines: {
      a: { slots: 1, has: [['x', 'v1']], wants: [['y', 'v1']] },
      b: { slots: 1, has: [['y', 'v1']], wants: [['x', 'v1']] },
    },
    counts: { x: 1, y: 1 },
    orders: [],
    blocked: ['y', 'x'],
  },
];

describe('the orders of one round', () => {
  for (const one of cases) {
    it(one.name, () => {
      const { orders, blockedNames } = decideOrders(toInput(one));
      const texts = orders.map(({ order }) => {
        if (order.kind === 'load') {
          return `${order.engineId} load ${order.model.name} ${order.model.version}`;
        }
        return order.kind === 'unload' ? `${order.engineId} unload ${order.name}` : 'setRole';
      });
      assert.deepEqual(texts, one.orders);
      assert.deepEqual(blockedNames, one.blocked ?? []);
    });
  }

  const rolesOf = (current: readonly ('prefill' | 'decode')[]) => {
    const engines = current.map((role, index) => ({
      engine: { engineId: `e${index}`, address: '', modelSlots: 1, refusesOldFencing: true },
      models: [],
      role: role === 'prefill' ? ('decode' as const) : ('prefill' as const),
    }));
    const sights = new Map<string, EngineSight>(
      current.map((role, index) => [
        `e${index}`,
        { engineId: `e${index}`, models: [], role, fencingNumber: 0 },
      ]),
    );
    const plan: PlacementPlan = {
      configurationVersion: 1,
      engines,
      wantedCounts: new Map(),
      wantedRoles: new Set(['prefill', 'decode']),
    };
    return decideOrders({ plan, sights, loadsLeft: 0 }).orders.map(({ order }) => order.engineId);
  };

  it('changes one role at a time, and not the last engine of a role', () => {
    assert.deepEqual(rolesOf(['prefill', 'prefill', 'decode']), ['e0']);
    assert.deepEqual(rolesOf(['prefill', 'decode', 'decode']), ['e1']);
    assert.deepEqual(rolesOf(['prefill', 'decode']), []);
  });
});
