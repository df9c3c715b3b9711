import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createSystemClock } from '../../runtime/system-clock';
import { createDisposableStore } from '../lifetime';
import { createMemoryLogger, waitFor } from '../../testing';
import { openServerListStandIn } from '../../../standins/server-list';
import type { ServerHealth } from './create-server-health';
import { checkedServer } from './testing/checked-server';
import type { ListStatus } from './types';
import { watchServerLists } from './watch-server-list';

/** Creates a stand-in for the server health that only records the statuses of the list. */
function createRecordingHealth(isOnDuty: boolean) {
  const statuses = new Map<string, ListStatus>();
  const health: Pick<ServerHealth, 'servers' | 'recordListStatus' | 'isOnDuty'> = {
    servers: () => [
      checkedServer('engine-1', '10.0.0.1:80'),
      checkedServer('engine-2', '10.0.0.2:80'),
    ],
    recordListStatus: (serverId, status) => statuses.set(serverId, status),
    isOnDuty: () => isOnDuty,
  };
  return { statuses, health };
}

describe('the watch of the platform’s server list', () => {
  // The platform marks a server as leaving minutes before it stops it. If the list is not watched, the first sign is
  // that all streams of the server are cut.
  it('records a server that starts to leave, and one that is missing from the list', async () => {
    await using list = await openServerListStandIn();
    list.setServers('kit-assistant', [{ id: 'a', address: '10.0.0.1:80', state: 'passing' }]);
    const { statuses, health } = createRecordingHealth(true);
    await using owned = createDisposableStore();
    owned.add(
      watchServerLists({
        clock: createSystemClock(),
        logger: createMemoryLogger(),
        health,
        url: `http://${list.address}`,
      }),
    );
    await waitFor(() => statuses.get('engine-1') === 'passing', 'the first list');
    assert.equal(statuses.get('engine-2'), 'missing');
    list.setServers('kit-assistant', [{ id: 'a', address: '10.0.0.1:80', state: 'leaving' }]);
    await waitFor(() => statuses.get('engine-1') === 'leaving', 'the change of the list');
  });

  it('reads nothing on an instance that is not on duty', async () => {
    await using list = await openServerListStandIn();
    const { statuses, health } = createRecordingHealth(false);
    await using owned = createDisposableStore();
    owned.add(
      watchServerLists({
        clock: createSystemClock(),
        logger: createMemoryLogger(),
        health,
        url: `http://${list.address}`,
      }),
    );
    await new Promise((resolve) => {
      setTimeout(resolve, 50);
    });
    assert.equal(statuses.size, 0);
    assert.equal(list.heldCount(), 0);
  });
});
