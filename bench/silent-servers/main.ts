/**
 * What callers get while backend servers stand still: they accept connections, send nothing, and go on where they were, or
 * never do. Six processes of the platform's bundle in three regions, six servers, 40 requests a second of four kinds, of
 * which callers repeat none. `node scripts/build-platform.mjs` builds the bundle. Arguments: names of rows, all where none is
 * given; `--seed N`.
 */
import { Agent } from 'node:http';
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';
import { parseArgs } from 'node:util';
import { createDisposableStore } from '../../src/core/lifetime';
import { createSeededRandom, pickIndex } from '../../src/core/random';
import { sendRequest } from '../../soak/callers';
import type { SoakInstances } from '../../soak/instances';
import { openStoreStandIn } from '../../standins/published-store';
import type { StoreStandIn } from '../../standins/published-store';
import { measureRows, startBenchInstances } from '../processes';
import { DEADLINE_MS, REQUEST_KINDS, benchConfiguration, drawRequest } from './requests';
import type { BenchRequest } from './requests';
import { openSilentServers } from './servers';
import { tally, tallyWaits } from './tally';
import type { MeasuredRequest, Tally, Waits } from './tally';

const INSTANCES = 6;
const SERVER_IDS = ['server-1', 'server-2', 'server-3', 'server-4', 'server-5', 'server-6'];
const SLOTS = 64;
/** Slots of the rows with little room: without two servers, fewer than the callers need. */
const FEW_SLOTS = 8;
const REQUESTS = 330;
const REQUEST_GAP_MS = 25;
const SILENT_FROM_MS = 4_000;
/** Time between a change or signal and the silence, ms. */
const LEAD_MS = 100;
/** Time after which a caller gives up, ms: well after its deadline. */
const GIVE_UP_MS = 7_000;
const DEFAULT_SEED = 70;

/** Processes of a row, and what may be changed in it. */
interface Scene {
  readonly store: StoreStandIn;
  readonly instances: SoakInstances;
  /** Has callers ask other instances than this one from now on. */
  leaveOut(instance: number): void;
}

interface Row {
  readonly name: string;
  readonly slots?: number;
  /** Number of servers that stand still. */
  readonly silentServers: number;
  /** Undefined if they never go on. */
  readonly silentForMs?: number;
  /** What happens just before. */
  readonly before?: (scene: Scene) => void;
}

const ALL = SERVER_IDS.length;

function signalAll({ instances }: Scene): void {
  for (let index = 0; index < INSTANCES; index += 1) instances.signal(index, 'SIGHUP');
}

function stopOne({ instances, leaveOut }: Scene): void {
  leaveOut(0);
  instances.signal(0, 'SIGTERM');
}

const ROWS: readonly Row[] = [
  { name: 'nothing goes wrong', silentServers: 0 },
  { name: 'nothing goes wrong, few slots', silentServers: 0, slots: FEW_SLOTS },
  { name: 'all for 1.2 s', silentServers: ALL, silentForMs: 1_200 },
  { name: 'all for 1.5 s', silentServers: ALL, silentForMs: 1_500 },
  { name: 'all for 2.5 s', silentServers: ALL, silentForMs: 2_500 },
  {
    name: 'all for 1.5 s, changed configuration',
    silentServers: ALL,
    silentForMs: 1_500,
    before: ({ store }) => store.put('op/config', benchConfiguration(3)),
  },
  {
    name: 'all for 1.5 s, SIGHUP to all instances',
    silentServers: ALL,
    silentForMs: 1_500,
    before: signalAll,
  },
  {
    name: 'all for 1.5 s, SIGTERM to one instance',
    silentServers: ALL,
    silentForMs: 1_500,
    before: stopOne,
  },
  { name: 'half for 1.5 s', silentServers: ALL / 2, silentForMs: 1_500 },
  { name: 'two for good', silentServers: 2 },
  { name: 'two for good, too few slots', silentServers: 2, slots: FEW_SLOTS },
];

async function ask(address: string, request: BenchRequest): Promise<MeasuredRequest> {
  const partsAtMs: number[] = [];
  const agent = new Agent();
  const attempt = await sendRequest(address, request, request.requestId, {
    agent,
    key: 'k-farm',
    leavesAfterMs: GIVE_UP_MS,
    deadlineMs: DEADLINE_MS,
    onData: () => partsAtMs.push(Date.now()),
  });
  agent.destroy();
  return { request, attempt, partsAtMs };
}

function printLine(
  row: string,
  kind: string,
  { requests, outcomes, runs, tooManyServers, ranTwice, corruptStreams }: Tally,
  waits: Waits | undefined,
): void {
  const { whole, cut, failed, refused, other } = outcomes;
  const arrived = waits?.restAfterMs ?? [];
  const cells = [
    row,
    kind,
    requests,
    whole,
    cut,
    failed,
    refused,
    other,
    (whole / Math.max(1, requests)).toFixed(3),
    (runs / Math.max(1, requests)).toFixed(3),
    tooManyServers,
    ranTwice,
    corruptStreams,
    waits === undefined ? '-' : `${arrived.length} of ${waits.requests}`,
    arrived[Math.floor(arrived.length / 2)] ?? '-',
    arrived.at(-1) ?? '-',
  ];
  console.log(`| ${cells.join(' | ')} |`);
}

async function measure(row: Row, seed: number): Promise<void> {
  const { silentServers, silentForMs, slots = SLOTS } = row;
  const owned = createDisposableStore();
  try {
    const random = createSeededRandom(seed);
    const store = owned.add(await openStoreStandIn());
    store.put('op/config', benchConfiguration(2));
    const servers = await openSilentServers({ serverIds: SERVER_IDS, slots, store, owned });
    const instances = owned.add(
      await startBenchInstances({ count: INSTANCES, store, name: 'silent-servers' }),
    );
    const asked = new Set(Array.from({ length: INSTANCES }, (_, index) => index));
    const silentIds = SERVER_IDS.slice(0, silentServers);
    let silentFromMs = Infinity;

    const disturb = async (): Promise<void> => {
      await sleep(SILENT_FROM_MS - LEAD_MS);
      row.before?.({ store, instances, leaveOut: (instance) => asked.delete(instance) });
      await sleep(LEAD_MS);
      servers.standStill(silentIds);
      silentFromMs = Date.now();
      if (silentForMs === undefined) return;
      await sleep(silentForMs);
      servers.goOn(silentIds);
    };

    const disturbed = disturb();
    const answers: Promise<MeasuredRequest>[] = [];
    const startMs = performance.now();
    for (let number = 0; number < REQUESTS; number += 1) {
      const request = drawRequest(random, number);
      const instance = [...asked][pickIndex(random, asked.size)] ?? 0;
      answers.push(ask(instances.callerAddress(instance), request));
      await sleep(Math.max(0, startMs + (number + 1) * REQUEST_GAP_MS - performance.now()));
    }
    const measured = await Promise.all(answers);
    await disturbed;

    const isForGood = silentServers > 0 && silentForMs === undefined;
    const print = (kind: string, some: readonly MeasuredRequest[]): void => {
      const silence = { serverIds: silentIds, fromMs: silentFromMs };
      const ids = new Set(some.map(({ request }) => request.requestId));
      const runs = servers.runs.filter(({ requestId }) => ids.has(requestId));
      const waits = isForGood ? tallyWaits(some, runs, silence) : undefined;
      printLine(row.name, kind, tally(some, runs), waits);
    };
    for (const kind of REQUEST_KINDS) {
      print(
        kind.name,
        measured.filter(({ request }) => request.of === kind),
      );
    }
    print('all', measured);
    for (const one of tally(measured, servers.runs).broken) {
      console.log(`broken: ${one.promise} ${one.requestId} ${one.detail}`);
    }
  } finally {
    await owned[Symbol.asyncDispose]();
  }
}

const { values, positionals } = parseArgs({
  allowPositionals: true,
  options: { seed: { type: 'string', default: String(DEFAULT_SEED) } },
});
const HEADINGS = [
  'servers that stand still',
  'kind',
  'requests',
  'whole',
  'cut',
  '502 or 504',
  '503 or 429',
  'other',
  'share served',
  'runs per request',
  'at too many servers',
  'ran twice',
  'wrong streams',
  'rest arrived',
  'median ms',
  'largest ms',
];
console.log(`seed ${values.seed}\n\n| ${HEADINGS.join(' | ')} |`);
console.log(`|${' --- |'.repeat(HEADINGS.length)}`);
await measureRows(ROWS, positionals, (row) => measure(row, Number(values.seed)));
process.exit(0);
