import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { compileConfiguration, configurationSchema, weightsSchema } from '../configuration';
import { createSeededRandom } from '../random';
import { REFUSALS, RefusalError } from '../refusals';
import { SPILLOVER_EVENTS, createSpillover } from '../spillover';
import type { HomeOutlook } from '../spillover';
import { createFakeClock, createMemoryLogger } from '../../testing';
import type { ServingDependencies } from './dependencies';
import { forwardResultOf, requireRoomForForeign, routeWithSpillover } from './spill-route';
import type { GatewayRequest } from './types';

const CONFIGURATION = compileConfiguration(
  configurationSchema.parse({
    version: 1,
    deployment: 'omaruru',
    regions: [
      { name: 'rundu', failureDomains: ['a'] },
      { name: 'windhoek', failureDomains: ['a'] },
    ],
    services: [{ kind: 'plain', name: 'stock', regions: ['rundu', 'windhoek'] }],
    backendServers: [],
    callers: [{ id: 'desk', keySha256: '0'.repeat(64), regions: ['rundu', 'windhoek'] }],
  }),
);

const PEERS = [
  { instanceId: 'w1', peerAddress: '10.0.0.1:1', region: 'windhoek', inFlightRequests: 5 },
  { instanceId: 'w2', peerAddress: '10.0.0.2:1', region: 'windhoek', inFlightRequests: 1 },
];

const ROOM: HomeOutlook = {
  canServe: true,
  wouldRefuse: false,
  expectedWaitMs: 0,
  expectedServiceMs: 100,
  utilisation: 0.3,
};
const FULL: HomeOutlook = { ...ROOM, wouldRefuse: true, expectedWaitMs: 9_000, utilisation: 1 };
const NO_SERVER: HomeOutlook = { ...ROOM, canServe: false };

function setUp(outlook: HomeOutlook) {
  const logger = createMemoryLogger();
  const spillover = createSpillover({
    options: () => CONFIGURATION.document.resilience.spillover,
    weights: () => weightsSchema.parse({ tailLatency: 1, remoteShare: 0.3, cost: 0.2 }),
    random: createSeededRandom(1),
  });
  const parts: Pick<
    ServingDependencies,
    'clock' | 'logger' | 'region' | 'spillover' | 'loadControl'
  > = {
    clock: createFakeClock(),
    logger,
    region: 'rundu',
    spillover,
    loadControl: {
      canServe: () => outlook.canServe,
      outlook: () => outlook,
      acquire: () => Promise.reject(new Error('not asked for')),
      [Symbol.dispose]: () => undefined,
    },
  };
  const request = {
    requestId: 'one',
    service: CONFIGURATION.serviceNamed('stock'),
    configuration: CONFIGURATION,
  } as GatewayRequest;
  return { dependencies: parts as ServingDependencies, logger, request };
}

describe('where a first try goes', () => {
  const cases = [
    { name: 'home while it has room', outlook: ROOM, peers: PEERS, goes: 'here' },
    { name: 'home when it may go nowhere else', outlook: FULL, peers: [], goes: 'here' },
    { name: 'the least loaded instance elsewhere', outlook: NO_SERVER, peers: PEERS, goes: 'w2' },
    { name: 'nowhere without any server', outlook: NO_SERVER, peers: [], goes: 'none' },
  ] as const;
  for (const { name, outlook, peers, goes } of cases) {
    it(name, () => {
      const { dependencies, request } = setUp(outlook);
      const route = routeWithSpillover(dependencies, request, () => true, peers);
      assert.equal(route.kind === 'peer' ? route.peer.instanceId : route.kind, goes);
    });
  }

  // A region loses its servers' room. Callers would wait or be refused at home while the next region has room.
  it('leaves in part, and says so, while home refuses', () => {
    const { dependencies, request, logger } = setUp(FULL);
    const clock = dependencies.clock as ReturnType<typeof createFakeClock>;
    // Longer than an instance takes to tell a lack of room from its own start.
    const arrivals = 1_500;
    let left = 0;
    for (let arrival = 0; arrival < arrivals; arrival += 1) {
      clock.advanceBy(20);
      const route = routeWithSpillover(dependencies, request, () => true, PEERS);
      if (route.kind === 'peer') left += 1;
    }
    assert.ok(left > 0, 'some leave');
    assert.ok(left < arrivals / 2, 'not all at once');
    assert.equal(logger.of(SPILLOVER_EVENTS.left).length, left);
  });
});

// Work that another region forwards joins the queues here, and this region's own callers wait for a failure that
// is not theirs.
describe('work of another region', () => {
  it('is taken while there is room', () => {
    const { dependencies, request } = setUp(ROOM);
    assert.doesNotThrow(() => requireRoomForForeign(dependencies, request, () => true));
  });

  it('is refused at once, as not run, when it would wait', () => {
    const { dependencies, request, logger } = setUp({ ...ROOM, expectedWaitMs: 50 });
    assert.throws(
      () => requireRoomForForeign(dependencies, request, () => true),
      (error) => error instanceof RefusalError && error.outcome === 'notRun',
    );
    assert.equal(logger.of(SPILLOVER_EVENTS.foreignRefused).length, 1);
  });
});

describe('what a failed forward says of its region', () => {
  const refusal = (definition: (typeof REFUSALS)[keyof typeof REFUSALS]) =>
    new RefusalError(definition, { detail: '', step: 'x', evidence: { kind: 'neverSent' } });
  const cases = [
    { name: 'full', error: refusal(REFUSALS.overloaded), gone: false, result: 'refusedForLoad' },
    { name: 'no server', error: refusal(REFUSALS.noServer), gone: false, result: 'refusedForLoad' },
    { name: 'out of reach', error: refusal(REFUSALS.peerFailed), gone: false, result: 'failed' },
    { name: 'nothing when the caller left', error: new Error('x'), gone: true, result: 'answered' },
  ];
  for (const { name, error, gone, result } of cases) {
    it(name, () => assert.equal(forwardResultOf(error, gone), result));
  }
});
