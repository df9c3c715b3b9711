import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { serverItem } from './testing/published-items';
import { parseSnapshot, serializeSnapshot } from '.';
import type { PublishedItem, PublishedState } from '.';

function state(revision: number, items: readonly PublishedItem[]): PublishedState {
  return { position: { era: 1, revision }, items, unreadable: [] };
}

describe('a snapshot of published state', () => {
  it('is unchanged after being serialized and parsed', () => {
    const service = {
      name: 'app',
      maxConnections: 3,
      coldStartMs: 1,
      coldRequestsPerSecond: 2,
      healthPath: '/health',
      copyMsPerToken: 0.004,
      memoryTokens: 1_500_000,
    };
    const table: PublishedItem = {
      kind: 'routes',
      table: {
        version: 4,
        services: new Map([['app', service]]),
        limits: { headerBytes: 1, bodyBytes: 2, headerTimeoutMs: 3, idleTimeoutMs: 4 },
        accounts: undefined,
        routes: [
          {
            name: 'r',
            host: 'a.example',
            pathPrefix: '/',
            kind: 'stream',
            isResumable: true,
            timeoutMs: 1,
            objectiveMs: 2,
            pauseObjectiveMs: 300,
            priority: 3,
            maxAttempts: 4,
            targets: [{ service: 'app', weight: 1 }],
            homeRegions: ['north'],
            isPublic: false,
          },
        ],
      },
    };
    const whole = state(7, [table, serverItem('s-1'), { kind: 'evacuation', failureDomain: 'x' }]);
    assert.deepEqual(parseSnapshot(serializeSnapshot(whole)), whole);
  });

  // An instance that rejects the tables of older releases does not learn of any route during an update.
  it('is read from releases that do not state the memory of servers', () => {
    const service = {
      name: 'app',
      maxConnections: 3,
      coldStartMs: 1,
      coldRequestsPerSecond: 2,
      healthPath: '/health',
    };
    const table = {
      version: 4,
      services: [service],
      limits: { headerBytes: 1, bodyBytes: 2, headerTimeoutMs: 3, idleTimeoutMs: 4 },
      accounts: null,
      routes: [],
    };
    const older = JSON.parse(serializeSnapshot(state(7, [])));
    const { items } = parseSnapshot(
      JSON.stringify({ ...older, items: [{ kind: 'routes', table }] }),
    );
    const [item] = items;
    const read = item?.kind === 'routes' ? item.table.services.get('app') : undefined;
    assert.deepEqual(read, { ...service, copyMsPerToken: undefined, memoryTokens: undefined });
  });
});
