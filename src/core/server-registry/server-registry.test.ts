import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createServerRegistry } from '.';
import type { KnownServer, ServerAnnouncement } from '.';

const FIRST_START_UNIX_MS = 1_000;
const NEXT_START_UNIX_MS = 9_000;

function announcement(more: Partial<ServerAnnouncement> = {}): ServerAnnouncement {
  return {
    serverId: 's-1',
    startedAtUnixMs: FIRST_START_UNIX_MS,
    service: 'app',
    address: '10.0.0.1:80',
    failureDomain: 'north-a',
    slots: 8,
    isDraining: false,
    coldForMs: 0,
    goneInMs: undefined,
    ...more,
  };
}

function setUp() {
  const restarted: KnownServer[] = [];
  const servers = createServerRegistry({
    regionOf: () => 'north',
    coldStartMs: () => 0,
    onRestarted: (before) => restarted.push(before),
  });
  return { servers, restarted };
}

describe('a server that starts again under the id that it had', () => {
  // It crashes and is back before its entry lapses. What the first start said must not stick to the next one: a server
  // that was leaving would never get work again, and one that was cold would be held to a trickle.
  const carried: readonly {
    readonly name: string;
    readonly before: Partial<ServerAnnouncement>;
  }[] = [
    { name: 'was draining', before: { isDraining: true } },
    { name: 'was to be taken away', before: { goneInMs: 500 } },
    { name: 'was cold', before: { coldForMs: 60_000 } },
  ];
  for (const { name, before } of carried) {
    it(`begins anew where the one before ${name}`, () => {
      const { servers, restarted } = setUp();
      servers.put(announcement(before), 0);
      servers.put(announcement({ startedAtUnixMs: NEXT_START_UNIX_MS }), 10);
      const [server] = servers.usable('app', 'north');
      assert.equal(server?.coldUntilMs, 0);
      assert.equal(restarted.length, 1);
      assert.notEqual(server?.incarnationId, restarted[0]?.incarnationId);
    });
  }

  it('stays as it is while the same start announces itself again', () => {
    const { servers, restarted } = setUp();
    servers.put(announcement({ isDraining: true }), 0);
    servers.put(announcement(), 10);
    assert.deepEqual(servers.usable('app', 'north'), []);
    assert.deepEqual(restarted, []);
  });

  // An announcement that was written before the restart arrives after it. Followed, it would hand requests to a start
  // that has ended, or take the one that lives out of use.
  it('is not forgotten for a late announcement of the one before', () => {
    const { servers } = setUp();
    servers.put(announcement({ startedAtUnixMs: NEXT_START_UNIX_MS }), 0);
    servers.put(announcement({ isDraining: true }), 10);
    assert.equal(servers.usable('app', 'north')[0]?.startedAtUnixMs, NEXT_START_UNIX_MS);
  });

  it('is one and the same where no start is stated', () => {
    const { servers, restarted } = setUp();
    servers.put(announcement({ startedAtUnixMs: undefined, isDraining: true }), 0);
    servers.put(announcement({ startedAtUnixMs: undefined }), 10);
    assert.deepEqual(servers.usable('app', 'north'), []);
    assert.deepEqual(restarted, []);
  });
});
