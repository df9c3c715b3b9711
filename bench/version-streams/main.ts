/**
 * Streams over servers of two software versions: how many hold events of both, and how many of those that are taken up go
 * on. Six processes of the platform's bundle in three regions, eight servers of one service, 40 streams a second of eight
 * events over one second. `node scripts/build-platform.mjs` builds the bundle. Arguments: names of rows, all where none
 * is given.
 */
import { Agent } from 'node:http';
import type { Socket } from 'node:net';
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';
import { createDisposableStore } from '../../src/core/lifetime';
import { createSeededRandom } from '../../src/core/random';
import type { RandomSource } from '../../src/core/random';
import { domainOf } from '../../platform/testing/process-settings';
import { sendRequest } from '../../soak/callers';
import { configurationOf } from '../../soak/configuration';
import type { SoakInstances } from '../../soak/instances';
import { EVENTS_PER_STREAM, eventText, versionsIn } from '../../soak/promises';
import { takenUpAfter } from '../../soak/stream-versions';
import type { CallerAttempt, TakenUpStream } from '../../soak/types';
import {
  chunkOf,
  openAnnouncedServer,
  streamHead,
  wholeAnswer,
} from '../../standins/announced-server';
import type { ReceivedRequest, ServerScript } from '../../standins/announced-server';
import { openStoreStandIn, serverEntry } from '../../standins/published-store';
import type { StoreStandIn } from '../../standins/published-store';
import { createServerSlots } from '../../standins/server-slots';
import { measureRows, startBenchInstances } from '../processes';

const INSTANCES = 6;
const SERVERS = 8;
const SLOTS = 64;
/** Slots of the row with too little room: eight servers finish half of what is asked of them. */
const SCARCE_SLOTS = 2;
/** Requests that wait at a server at most; it rejects more. */
const MAX_WAITING = 4;
const EVENT_GAP_MS = 125;
const STREAM_GAP_MS = 25;
const SECONDS = 8;
const DEADLINE_MS = 6_000;
/** Attempts of one caller; those at an instance that is down are among them, and are not counted. */
const MAX_TRIES = 6;
/** Time after which a caller that leaves its stream takes it up, ms. */
const LEAVES_AFTER_MS = 450;
const DRAIN_MS = 3_000;
const TURNED_AWAY_MS = 1_500;
const SEED = 60;
const OLD = 'v1';
const NEW = 'v1.1';

/** Where a caller takes its stream up. */
type Where = 'same' | 'other';

interface Servers {
  /** Ends the given number of servers of a version one by one, each after it has drained. */
  end(version: string, count: number): Promise<void>;
  start(version: string, index: number): Promise<void>;
  setTurningAway(version: string | undefined): void;
}

interface Row {
  readonly name: string;
  readonly versions?: readonly string[];
  readonly slots?: number;
  readonly breakingShare?: number;
  readonly leavingShare?: number;
  readonly where?: Where;
  readonly run?: (servers: Servers, instances: SoakInstances) => Promise<void>;
}

async function killTwo(instances: SoakInstances): Promise<void> {
  await sleep(2_000);
  instances.signal(0, 'SIGKILL');
  instances.signal(1, 'SIGKILL');
}

const ROWS: readonly Row[] = [
  { name: 'nothing goes wrong' },
  { name: 'three in ten runs break off', breakingShare: 0.3 },
  { name: 'four in ten callers leave and take up elsewhere', leavingShare: 0.4 },
  { name: 'the same, at the same instance', leavingShare: 0.4, where: 'same' },
  { name: 'two instances are killed', run: (_servers, instances) => killTwo(instances) },
  {
    name: 'both',
    breakingShare: 0.3,
    leavingShare: 0.4,
    run: (_servers, instances) => killTwo(instances),
  },
  {
    name: 'rollout to the last but one',
    breakingShare: 0.3,
    leavingShare: 0.2,
    run: (servers) => servers.end(OLD, 3),
  },
  {
    name: 'the last of v1 ends and v2 begins',
    breakingShare: 0.3,
    leavingShare: 0.2,
    async run(servers) {
      await Promise.all([servers.start('v2', 0), servers.start('v2', 1)]);
      await servers.end(OLD, 4);
    },
  },
  {
    name: 'servers of one version turn all away for 1.5 s',
    breakingShare: 0.3,
    async run(servers) {
      await sleep(3_000);
      servers.setTurningAway(OLD);
      await sleep(TURNED_AWAY_MS);
      servers.setTurningAway(undefined);
    },
  },
  {
    name: 'too little room, two of eight servers of one version',
    versions: [OLD, OLD, OLD, NEW],
    slots: SCARCE_SLOTS,
    leavingShare: 0.4,
  },
  { name: 'one version alone', versions: [NEW], breakingShare: 0.3, leavingShare: 0.4 },
];

async function openServers(
  row: Row,
  store: StoreStandIn,
  random: RandomSource,
  owned: ReturnType<typeof createDisposableStore>,
): Promise<Servers> {
  const { versions = [OLD, NEW], breakingShare = 0, slots = SLOTS } = row;
  const running: { id: string; version: string; entry: object }[] = [];
  let nextId = 1;
  let turningAway: string | undefined;

  const scriptOf = (version: string): ServerScript => {
    const serverSlots = createServerSlots({ slots, maxWaiting: MAX_WAITING });
    const run = (request: ReceivedRequest, socket: Socket): void => {
      const requestId = request.headers.get('x-request-id') ?? '';
      let eventId = Number(request.headers.get('last-event-id') ?? 0) + 1;
      const breaks = eventId === 1 && random.next() < breakingShare;
      const breaksAt = breaks ? 3 + Math.floor(random.next() * 4) : Infinity;
      socket.write(serverSlots.withLoad(streamHead(request)));
      const timer = setInterval(() => {
        if (eventId >= breaksAt) socket.resetAndDestroy();
        if (!socket.destroyed && eventId <= EVENTS_PER_STREAM) {
          socket.write(chunkOf(eventText(requestId, eventId, version)));
          eventId += 1;
          return;
        }
        clearInterval(timer);
        serverSlots.release();
        if (!socket.destroyed) socket.write(chunkOf(''));
      }, EVENT_GAP_MS);
    };
    return (request, socket) => {
      if (request.path === '/health') {
        socket.write(wholeAnswer(request, ''));
        return;
      }
      const isTaken = turningAway !== version && serverSlots.admit(() => run(request, socket));
      if (!isTaken) socket.write(serverSlots.rejectionOf(request));
    };
  };

  const start = async (version: string, index: number): Promise<void> => {
    const { address } = owned.add(await openAnnouncedServer(scriptOf(version)));
    const id = `server-${nextId}`;
    nextId += 1;
    const entry = { Zone: domainOf(index), Slots: slots, Version: version };
    running.push({ id, version, entry: serverEntry(address, entry) });
    store.put(`servers/${id}`, serverEntry(address, entry));
  };

  for (let index = 0; index < SERVERS; index += 1) {
    const place = Math.floor((index * versions.length) / SERVERS);
    await start(versions[place] ?? OLD, index);
  }
  return {
    start,
    async end(version, count) {
      for (const { id, entry } of running
        .filter((one) => one.version === version)
        .slice(0, count)) {
        await sleep(1_000);
        store.put(`servers/${id}`, { ...entry, State: 'draining' });
        setTimeout(() => store.remove(`servers/${id}`), DRAIN_MS).unref();
      }
    },
    setTurningAway(version) {
      turningAway = version;
    },
  };
}

/** Asks for one stream, takes it up when it breaks off or its caller leaves it, and returns all attempts. */
async function follow(
  row: Row,
  instances: SoakInstances,
  random: RandomSource,
  number: number,
): Promise<readonly CallerAttempt[]> {
  const attempts: CallerAttempt[] = [];
  let instance = Math.floor(random.next() * INSTANCES);
  let takesUp: TakenUpStream | undefined;
  const leaves = random.next() < (row.leavingShare ?? 0);
  for (let tries = 0; tries < MAX_TRIES; tries += 1) {
    const agent = new Agent();
    const attempt = await sendRequest(
      instances.callerAddress(instance),
      { path: '/plans/1', kind: 'stream', maxAttempts: 2 },
      `r-${number}-${tries}`,
      {
        agent,
        key: 'k-farm',
        takesUp,
        leavesAfterMs: leaves && tries === 0 ? LEAVES_AFTER_MS : DEADLINE_MS,
      },
    );
    agent.destroy();
    const isDown = attempt.status === undefined && attempt.body === '';
    if (!isDown) attempts.push(attempt);
    const next = takenUpAfter(attempt);
    if (next === undefined && !isDown) break;
    takesUp = next ?? takesUp;
    if (isDown || row.where !== 'same') instance = Math.floor(random.next() * INSTANCES);
  }
  return attempts;
}

const hasEvent = ({ status, body }: CallerAttempt) => status === 200 && versionsIn(body).length > 0;

async function measure(row: Row): Promise<void> {
  const owned = createDisposableStore();
  try {
    const random = createSeededRandom(SEED);
    const store = owned.add(await openStoreStandIn());
    store.put('op/config', { ...configurationOf(2), Tenants: undefined });
    const servers = await openServers(row, store, random, owned);
    const instances = owned.add(
      await startBenchInstances({ count: INSTANCES, store, name: 'version-streams' }),
    );
    const trouble = row.run?.(servers, instances);
    const streams: Promise<readonly CallerAttempt[]>[] = [];
    for (let number = 0; number < (SECONDS * 1_000) / STREAM_GAP_MS; number += 1) {
      streams.push(follow(row, instances, random, number));
      await sleep(STREAM_GAP_MS);
    }
    const all = await Promise.all(streams);
    await trouble;
    const isMixed = (attempts: readonly CallerAttempt[]) =>
      new Set(attempts.flatMap(({ body }) => versionsIn(body))).size > 1;
    const takeUps = all.flatMap((attempts) => attempts.slice(1));
    const wentOn = takeUps.filter(hasEvent).length;
    const begun = all.filter(([first]) => first !== undefined && hasEvent(first)).length;
    const cells = [row.name, all.filter(isMixed).length, all.length, begun, takeUps.length, wentOn];
    console.log(`| ${cells.join(' | ')} |`);
  } finally {
    await owned[Symbol.asyncDispose]();
  }
}

console.log('| row | streams of two versions | of | begun | taken up by callers | went on |');
console.log('| --- | --- | --- | --- | --- | --- |');
await measureRows(ROWS, process.argv.slice(2), measure);
process.exit(0);
