import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createAdaptiveLimit } from '../admission';
import { createSeededRandom } from '../random';
import { engineWork } from '../work';
import { chooseServer } from './choose-server';
import type { ServerChoiceInput } from './choose-server';
import { createLongPromptPartition } from './long-prompts';
import { createPrefixIndex } from './prefix-index';
import { createServerPool } from './server-pool';
import type { ServerPool } from './server-pool';

const PREFIX = { key: 'kit', tokens: 2_000 };

function work(promptTokens = 2_500, prefixes = [PREFIX]) {
  return engineWork({ promptTokens, maxOutputTokens: 100, prefixes }, 50);
}

function createPool(count: number): ServerPool {
  const pool = createServerPool(() =>
    createAdaptiveLimit({ initialRequestUnits: 3_000, tolerance: 3 }),
  );
  pool.replace(
    Array.from({ length: count }, (_unused, index) => ({
      serverId: `server-${index}`,
      address: `10.0.0.${index}:1`,
      failureDomain: index % 2 === 0 ? 'a' : 'b',
    })),
  );
  return pool;
}

function inputFor(pool: ServerPool, changes: Partial<ServerChoiceInput> = {}): ServerChoiceInput {
  return {
    kind: 'engine',
    pool,
    prefixIndex: createPrefixIndex(),
    longPrompts: createLongPromptPartition(),
    work: work(),
    ownFailureDomain: 'a',
    random: createSeededRandom(1),
    nowMs: 1_000,
    waitedMs: 0,
    mayUse: () => true,
    ...changes,
  };
}

/** Adds open requests of `units` to a server. */
function load(pool: ServerPool, serverId: string, requests: number, units = 3_000) {
  const server = pool.get(serverId);
  if (server === undefined) throw new Error(`No ${serverId}`);
  for (let index = 0; index < requests; index += 1) {
    server.begin({ units, begunAtMs: 0, prefillTokens: units });
    server.limit.begin(units);
  }
  pool.refresh(server);
}

describe('choosing an engine', () => {
  it('prefers the one that holds the prefix', () => {
    const prefixIndex = createPrefixIndex();
    prefixIndex.recordSent('server-5', [PREFIX], 0);
    const choice = chooseServer(inputFor(createPool(20), { prefixIndex }));
    assert.equal(choice?.server.serverId, 'server-5');
    assert.equal(choice?.prefillTokens, 500);
  });

  // One prefix makes up most of the load. If all of it went to the one engine that holds it, its callers would
  // wait while the other engines are idle.
  it('spreads a hot prefix once waiting for its holder costs more than computing it again', () => {
    const pool = createPool(20);
    const prefixIndex = createPrefixIndex();
    prefixIndex.recordSent('server-5', [PREFIX], 0);
    load(pool, 'server-5', 2);
    const choice = chooseServer(inputFor(pool, { prefixIndex }));
    assert.notEqual(choice?.server.serverId, 'server-5');
  });

  it('chooses the same engine as other instances for an unknown prefix', () => {
    const homes = [1, 2, 3].map(
      (seed) =>
        chooseServer(inputFor(createPool(20), { random: createSeededRandom(seed) }))?.server
          .serverId,
    );
    assert.equal(new Set(homes).size, 1);
  });

  // A report says that one engine is idle. All instances receive it at the same time; if each chose that
  // engine, it would be the fullest a moment later.
  it('does not send all requests to the engine that last reported itself idle', () => {
    const chosen = Array.from({ length: 60 }, (_unused, seed) => {
      const pool = createPool(60);
      pool.all().forEach((server) =>
        server.recordReport({
          atMs: 900,
          runningRequests: server.serverId === 'server-7' ? 0 : 4,
          waitingRequests: 0,
        }),
      );
      const random = createSeededRandom(seed);
      return chooseServer(inputFor(pool, { random, work: work(2_500, []) }))?.server.serverId;
    });
    assert.ok(chosen.filter((serverId) => serverId === 'server-7').length < 15);
  });

  it('chooses no server that is unusable or has no capacity', () => {
    const pool = createPool(3);
    load(pool, 'server-0', 10);
    const mayUse = (serverId: string) => serverId !== 'server-1';
    const choice = chooseServer(inputFor(pool, { mayUse }));
    assert.equal(choice?.server.serverId, 'server-2');
    load(pool, 'server-2', 10);
    assert.equal(chooseServer(inputFor(pool, { mayUse })), undefined);
  });

  // Long floor plans and short questions share engines. Each step of a batch that contains a plan takes ten
  // times as long, so that a question that takes two seconds alone takes twenty.
  it('keeps long and short prompts in their partitions until they have waited', () => {
    const pool = createPool(10);
    const longPrompts = createLongPromptPartition();
    longPrompts.setServerCount(10);
    const long = work(30_000, []);
    const short = work(200, []);
    for (let index = 0; index < 600; index += 1) {
      longPrompts.recordWork(index % 40 === 0 ? long : short);
    }
    const parts = [short, long].map((one) =>
      Array.from({ length: 40 }, (_unused, seed) => {
        const random = createSeededRandom(seed);
        return chooseServer(inputFor(pool, { longPrompts, random, work: one }))?.server.serverId;
      }),
    );
    const [shortPart, longPart] = parts.map((part) => new Set(part)) as [
      Set<string | undefined>,
      Set<string | undefined>,
    ];
    assert.ok(shortPart.size >= 2);
    assert.deepEqual(
      [...longPart].filter((serverId) => shortPart.has(serverId)),
      [],
    );
  });
});

describe('choosing a plain server', () => {
  const plain = (pool: ServerPool, seed: number) =>
    chooseServer(
      inputFor(pool, { kind: 'plain', random: createSeededRandom(seed), work: work(0, []) }),
    );

  it('stays in its own failure domain while that has capacity, and leaves it otherwise', () => {
    const pool = createPool(6);
    for (let seed = 0; seed < 20; seed += 1) {
      assert.equal(plain(pool, seed)?.server.failureDomain, 'a');
    }
    ['server-0', 'server-2', 'server-4'].forEach((serverId) => load(pool, serverId, 10));
    assert.equal(plain(pool, 1)?.server.failureDomain, 'b');
  });
});

describe('the prefix index', () => {
  // An eviction event arrives half a second late, after the same prefix was sent to the engine again. Applying
  // the old event would send the next request elsewhere and compute the prefix once more.
  it('ignores an eviction that is older than the last send', () => {
    const index = createPrefixIndex();
    index.recordSent('server-1', [PREFIX], 1_000);
    index.applyEvent({ kind: 'evicted', serverId: 'server-1', key: PREFIX.key, atMs: 800 });
    assert.equal(index.holders([PREFIX], 1_200).length, 1);
    index.applyEvent({ kind: 'evicted', serverId: 'server-1', key: PREFIX.key, atMs: 1_100 });
    assert.equal(index.holders([PREFIX], 1_200).length, 0);
  });

  it('forgets a crashed server, old holders and the least recently used prefixes', () => {
    const index = createPrefixIndex({ maxKeys: 2, holderTtlMs: 1_000 });
    index.recordSent('server-1', [PREFIX], 0);
    index.recordSent('server-2', [PREFIX], 500);
    assert.equal(index.holders([PREFIX], 1_200).length, 1);
    index.removeServer('server-2');
    assert.equal(index.holders([PREFIX], 600).length, 1);
    index.recordSent('server-1', [{ key: 'x', tokens: 1 }], 600);
    index.recordSent('server-1', [{ key: 'y', tokens: 1 }], 600);
    assert.equal(index.size(), 2);
    assert.equal(index.holders([PREFIX], 600).length, 0);
  });
});
