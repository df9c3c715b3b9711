/**
 * What callers get while a backend server sends bytes that are no answer without end, and what that costs the instances. Six
 * processes of the platform's bundle in three regions, six servers of a service and two of another one, 250 requests in 5 s of
 * five kinds, of which callers repeat none. `node scripts/build-platform.mjs` builds the bundle. Arguments: names of rows, all
 * where none is given; `--seed N`.
 */
import { Agent } from 'node:http';
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';
import { parseArgs } from 'node:util';
import { createDisposableStore } from '../../src/core/lifetime';
import { waitFor } from '../../src/testing';
import { createSeededRandom, pickIndex } from '../../src/core/random';
import { sendRequest } from '../../soak/callers';
import type { SoakInstances } from '../../soak/instances';
import { ENDLESS_SHAPES } from '../../standins/endless-answers';
import type { EndlessShape } from '../../standins/endless-answers';
import { openStoreStandIn } from '../../standins/published-store';
import { measureRows, startBenchInstances } from '../processes';
import { REQUEST_KINDS, benchConfiguration, drawRequest } from '../silent-servers/requests';
import type { BenchRequest, RequestKind } from '../silent-servers/requests';
import { openSilentServers } from '../silent-servers/servers';
import { tally } from '../silent-servers/tally';
import type { MeasuredRequest } from '../silent-servers/tally';
import { createTroubledServers } from './servers';
import type { TroubledServers } from './servers';
import { readUsage } from './usage';
import type { ProcessUsage } from './usage';

const SERVER_IDS = ['server-1', 'server-2', 'server-3', 'server-4', 'server-5', 'server-6'];
const OTHER_SERVER_IDS = ['other-1', 'other-2'];
const SLOTS = 64;
const INSTANCES = 6;
const REQUESTS = 250;
const REQUEST_GAP_MS = 20;
const DEADLINE_MS = 7_000;
/** Time after which a caller gives up, ms: well after its deadline. */
const GIVE_UP_MS = 13_000;
const DEFAULT_SEED = 73;
const PER_MIB = 1_048_576;
const OK = 200;
const FAILURE = 500;

const OTHER_SERVICE: RequestKind = {
  name: 'other service',
  prefix: '/parts/',
  kind: 'idempotent',
  isRepeatable: true,
  minMs: 150,
  maxMs: 400,
};
const KINDS = [...REQUEST_KINDS, OTHER_SERVICE];

interface Row {
  readonly name: string;
  /** What servers in trouble send; undefined if none is in trouble. */
  readonly shape: EndlessShape | undefined;
  readonly troubledIds: readonly string[];
  readonly instances: number;
  /** Time after which servers change between trouble and soundness, ms. */
  readonly changesEachMs?: number;
}

const USUAL = { troubledIds: ['server-1'], instances: INSTANCES };
const EVENT: EndlessShape = { kind: 'event', pace: 'quick' };
const FAILURE_BODY: EndlessShape = { kind: 'failure' };
const ROWS: readonly Row[] = [
  { name: 'calm', ...USUAL, shape: undefined },
  ...Object.entries(ENDLESS_SHAPES).map(([name, shape]) => ({ name, ...USUAL, shape })),
  { name: 'all servers: an event', ...USUAL, troubledIds: SERVER_IDS, shape: EVENT },
  { name: 'all servers: a failure', ...USUAL, troubledIds: SERVER_IDS, shape: FAILURE_BODY },
  { name: 'two instances: an event', ...USUAL, instances: 2, shape: EVENT },
  { name: 'changes each second: an event', ...USUAL, shape: EVENT, changesEachMs: 1_000 },
  { name: 'changes each second: a failure', ...USUAL, shape: FAILURE_BODY, changesEachMs: 1_000 },
];

function configuration(): object {
  const usual = benchConfiguration(2, DEADLINE_MS);
  const [stock] = usual.Routes.filter(({ Prefix }) => Prefix === '/stock/');
  const [app] = usual.Services;
  return {
    ...usual,
    Routes: [...usual.Routes, { ...stock, Name: 'parts', Prefix: '/parts/', Service: 'other' }],
    Services: [app, { ...app, Name: 'other' }],
  };
}

async function ask(address: string, request: BenchRequest): Promise<MeasuredRequest> {
  const agent = new Agent();
  const attempt = await sendRequest(address, request, request.requestId, {
    agent,
    key: 'k-farm',
    leavesAfterMs: GIVE_UP_MS,
    deadlineMs: DEADLINE_MS,
  });
  agent.destroy();
  return { request, attempt, partsAtMs: [] };
}

/** Usage of an instance; its process differs if it has been restarted. */
interface InstanceUsage extends ProcessUsage {
  readonly id: number | undefined;
}

function usageOf({ count, processId }: SoakInstances): readonly InstanceUsage[] {
  return Array.from({ length: count }, (_, index) => {
    const id = processId(index);
    return id === undefined ? { id, peakMb: 0, processorS: 0 } : { id, ...readUsage(id) };
  });
}

/** Returns a percentile of the times until whole answers without streams, ms. */
function quickAnswerMs(measured: readonly MeasuredRequest[], share: number): number | undefined {
  const times = measured
    .filter(({ request, attempt }) => request.of.kind !== 'stream' && attempt.isWhole)
    .map(({ attempt }) => attempt.endedAtMs - attempt.atMs)
    .sort((left, right) => left - right);
  return times[Math.min(times.length - 1, Math.floor(times.length * share))];
}

/** Has servers get into trouble; they change each `changesEachMs` until it is disposed of, or stay in trouble. */
function beginTrouble({ setTroubled }: TroubledServers, changesEachMs?: number): Disposable {
  let isTroubled = true;
  setTroubled(isTroubled);
  if (changesEachMs === undefined) return { [Symbol.dispose]() {} };
  const timer = setInterval(() => {
    isTroubled = !isTroubled;
    setTroubled(isTroubled);
  }, changesEachMs);
  return { [Symbol.dispose]: () => clearInterval(timer) };
}

/** Waits until each instance has answered a request; on a busy machine some start late. */
async function waitUntilServing({ count, callerAddress }: SoakInstances): Promise<void> {
  for (let instance = 0; instance < count; instance += 1) {
    const path = `${OTHER_SERVICE.prefix}1`;
    const request = { of: OTHER_SERVICE, path, kind: OTHER_SERVICE.kind, maxAttempts: 1 };
    const isServing = async (): Promise<boolean> => {
      const probe = { ...request, requestId: `first-${instance}-${performance.now()}` };
      return (await ask(callerAddress(instance), probe)).attempt.status === OK;
    };
    await waitFor(isServing, `an answer of instance ${instance}`);
  }
}

/** Sends the requests at a steady rate, and resolves with their answers. */
async function askAll(instances: SoakInstances, seed: number): Promise<readonly MeasuredRequest[]> {
  const random = createSeededRandom(seed);
  const answers: Promise<MeasuredRequest>[] = [];
  const startMs = performance.now();
  for (let number = 0; number < REQUESTS; number += 1) {
    const request = drawRequest(random, number, KINDS);
    const instance = pickIndex(random, instances.count);
    answers.push(ask(instances.callerAddress(instance), request));
    await sleep(Math.max(0, startMs + (number + 1) * REQUEST_GAP_MS - performance.now()));
  }
  return Promise.all(answers);
}

/** Returns what callers got as cells. */
function outcomeCells(some: readonly MeasuredRequest[]): readonly number[] {
  const stayed = some.filter(({ attempt }) => !attempt.hasLeft);
  const { whole, cut, failed, refused, other } = tally(stayed, []).outcomes;
  const cutFailures = stayed.filter(
    ({ attempt }) => attempt.status === FAILURE && !attempt.isWhole,
  ).length;
  const left = some.length - stayed.length;
  return [whole, cut + cutFailures, failed, refused, other - cutFailures, left];
}

/** Returns what the servers in trouble did as cells. */
function troubleCells({ answers }: TroubledServers): readonly number[] {
  const asked = answers.filter(({ path }) => path !== '/health').length;
  const bytes = answers.reduce((sum, answer) => sum + answer.writtenBytes(), 0);
  return [asked, Math.round(bytes / PER_MIB), answers.filter((answer) => answer.isOpen()).length];
}

/** Returns what the instances used since `before` as cells. */
function usageCells(before: readonly InstanceUsage[], after: readonly InstanceUsage[]) {
  const peakMb = Math.max(...after.map((usage) => usage.peakMb));
  const processorS = after.reduce((sum, usage) => sum + usage.processorS, 0);
  const beforeS = before.reduce((sum, usage) => sum + usage.processorS, 0);
  const ended = after.filter(({ id }, index) => id !== before[index]?.id).length;
  return [Math.round(peakMb), (processorS - beforeS).toFixed(1), ended];
}

async function measure(row: Row, seed: number): Promise<void> {
  const owned = createDisposableStore();
  try {
    const store = owned.add(await openStoreStandIn());
    store.put('op/config', configuration());
    const troubled = createTroubledServers(row.troubledIds, row.shape);
    const { scriptOf } = troubled;
    const common = { slots: SLOTS, store, owned };
    const servers = await openSilentServers({ ...common, serverIds: SERVER_IDS, scriptOf });
    const otherIds = { serverIds: OTHER_SERVER_IDS, service: 'other' };
    const others = await openSilentServers({ ...common, ...otherIds });
    const instances = owned.add(
      await startBenchInstances({ count: row.instances, store, name: 'endless-bytes' }),
    );

    await waitUntilServing(instances);
    const before = usageOf(instances);
    const trouble = owned.add(beginTrouble(troubled, row.changesEachMs));
    const measured = await askAll(instances, seed);
    const atTrouble = troubleCells(troubled);
    const used = usageCells(before, usageOf(instances));
    trouble[Symbol.dispose]();

    const print = (
      kind: string,
      some: readonly MeasuredRequest[],
      cells: readonly (number | string)[],
    ): void => {
      const p99Ms = quickAnswerMs(some, 0.99) ?? '-';
      const all = [row.name, kind, some.length, ...outcomeCells(some), p99Ms, ...cells];
      console.log(`| ${all.join(' | ')} |`);
    };
    for (const of of KINDS) {
      const some = measured.filter(({ request }) => request.of === of);
      print(of.name, some, Array<string>(atTrouble.length + used.length).fill(''));
    }
    print('all', measured, [...atTrouble, ...used]);
    const runs = [...servers.runs, ...others.runs, ...troubled.runs];
    for (const one of tally(measured, runs).broken) {
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
  'what is sent without end',
  'kind',
  'requests',
  'whole',
  'cut',
  '502 or 504',
  '503 or 429',
  'other',
  'no end in 13 s',
  'quick p99 ms',
  'at servers in trouble',
  'MiB written there',
  'still open',
  'largest instance MB',
  'processor s',
  'instances ended',
];
console.log(`seed ${values.seed}\n\n| ${HEADINGS.join(' | ')} |`);
console.log(`|${' --- |'.repeat(HEADINGS.length)}`);
await measureRows(ROWS, positionals, (row) => measure(row, Number(values.seed)));
process.exit(0);
