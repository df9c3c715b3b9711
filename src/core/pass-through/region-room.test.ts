import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { regionRoom, sumByService } from './region-room';
import type { ReportedLoad } from './region-room';

/** Guards against a region that looks full because of requests at servers that are gone. */
describe('the open requests per service', () => {
  it('are summed over the servers of each service, sorted, without services that have none', () => {
    const servers = [
      { incarnationId: 's-1', service: 'code' },
      { incarnationId: 's-2', service: 'chat' },
      { incarnationId: 's-3', service: 'chat' },
      { incarnationId: 's-4', service: 'idle' },
    ];
    const requests = [
      { incarnationId: 's-1', inFlight: 4 },
      { incarnationId: 's-2', inFlight: 1 },
      { incarnationId: 's-3', inFlight: 2 },
      { incarnationId: 's-4', inFlight: 0 },
      { incarnationId: 'removed', inFlight: 9 },
    ];
    assert.deepEqual(sumByService(requests, servers), [
      ['chat', 3],
      ['code', 4],
    ]);
  });
});

/** Guards against requests sent to a region whose servers of this service are full, or withheld from one with room. */
describe('the room of a region for a service', () => {
  const TWO_SERVERS = [{ slots: 64 }, { slots: 36 }];
  const cases: {
    name: string;
    servers?: readonly { slots: number }[];
    instances: readonly ReportedLoad[];
    room: number;
    utilization: number;
  }[] = [
    { name: 'is all its slots without open requests', instances: [], room: 100, utilization: 0 },
    {
      // With the total, a region with a busy other service would look full.
      name: 'does not count open requests of other services',
      instances: [
        {
          inFlightRequests: 90,
          openRequestsByService: [
            ['chat', 10],
            ['code', 80],
          ],
        },
        { inFlightRequests: 30, openRequestsByService: [['code', 30]] },
      ],
      room: 90,
      utilization: 0.1,
    },
    {
      name: 'counts all open requests of an instance of an older release, which states only the total',
      instances: [
        { inFlightRequests: 40 },
        { inFlightRequests: 30, openRequestsByService: [['chat', 20]] },
      ],
      room: 40,
      utilization: 0.6,
    },
    {
      name: 'is 0 rather than negative if requests are queued',
      instances: [{ inFlightRequests: 130, openRequestsByService: [['chat', 130]] }],
      room: 0,
      utilization: 1.3,
    },
    {
      name: 'is 0 if all servers are drained',
      servers: [],
      instances: [{ inFlightRequests: 2, openRequestsByService: [['chat', 2]] }],
      room: 0,
      utilization: 2,
    },
  ];
  for (const { name, servers = TWO_SERVERS, instances, room, utilization } of cases) {
    it(name, () => {
      assert.deepEqual(regionRoom('chat', servers, instances), { room, utilization });
    });
  }
});
