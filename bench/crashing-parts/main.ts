/**
 * Parts of prompts that crash servers: how many servers end, and how sound requests fare. Six processes of the platform's
 * bundle in three regions, twelve servers of one service, each back some time after a crash, and sound requests that share
 * the first part of their prompts with the others. `node scripts/build-platform.mjs` builds the bundle. Arguments: names of
 * rows, all where none is given.
 */
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';
import { createDisposableStore } from '../../src/core/lifetime';
import { createSeededRandom, pickIndex } from '../../src/core/random';
import type { RandomSource } from '../../src/core/random';
import { domainOf } from '../../platform/testing/process-settings';
import { askWithParts } from '../../soak/ask-with-parts';
import { configurationOf } from '../../soak/configuration';
import type { SoakInstances } from '../../soak/instances';
import {
  chunkOf,
  openAnnouncedServer,
  streamHead,
  wholeAnswer,
} from '../../standins/announced-server';
import type { AnnouncedServer, ReceivedRequest } from '../../standins/announced-server';
import { openStoreStandIn, serverEntry } from '../../standins/published-store';
import type { StoreStandIn } from '../../standins/published-store';
import { measureRows, startBenchInstances } from '../processes';

const INSTANCES = 6;
const SERVERS = 12;
const SLOTS = 16;
const CALM_MS = 6_000;
const TROUBLE_MS = 23_000;
const BACK_AFTER_MS = 2_500;
const PREFILL_MS = 40;
const EVENTS = 8;
const EVENT_GAP_MS = 100;
const SOUND_GAP_MS = 33;
const DEADLINE_MS = 4_000;
const OUTPUT_TOKENS = 40;
const CRASHES_ALLOWED = 5;
const ALLOWED_AFTER_MS = 5_000;
const SOUND_FROM_MS = 10_000;
const SUBJECTS = 40;
const SYSTEM_PART = 'a0';
const SEED = 67;

/** Requests of a row that crash servers. */
interface Row {
  readonly name: string;
  /** Crashing parts; requests with each come at the rate of the row. */
  readonly parts: readonly string[];
  readonly badPerS: number;
  /** Returns the shared parts of a prompt with a crashing part. */
  readonly prompt?: (part: string, subject: string, number: number) => readonly string[];
  readonly killsInstances?: boolean;
  /** Crashes a second for other causes. */
  readonly otherCrashesPerS?: number;
}

const ROWS: readonly Row[] = [
  { name: 'one part, 8 a second', parts: ['bad1'], badPerS: 8 },
  {
    name: 'in changing places',
    parts: ['bad1'],
    badPerS: 8,
    prompt(part, subject, number) {
      const parts = [SYSTEM_PART, subject];
      parts.splice(number % 3, 0, part);
      return parts;
    },
  },
  { name: 'two parts at once', parts: ['bad1', 'bad2'], badPerS: 4 },
  { name: '1.2 a second', parts: ['bad1'], badPerS: 1.2 },
  { name: 'two instances are killed', parts: ['bad1'], badPerS: 8, killsInstances: true },
  { name: 'beside other crashes', parts: ['bad1'], badPerS: 2, otherCrashesPerS: 1 },
  { name: 'other crashes alone', parts: [], badPerS: 0, otherCrashesPerS: 2 },
];

/** A request that a server has received, and that it crashes on. */
interface BadArrival {
  readonly part: string;
  readonly atMs: number;
}

interface CrashingServers {
  readonly arrivals: readonly BadArrival[];
  /** Servers that have ended. */
  ended(): number;
  crashOne(random: RandomSource): Promise<void>;
}

async function openServers(
  row: Row,
  store: StoreStandIn,
  owned: ReturnType<typeof createDisposableStore>,
): Promise<CrashingServers> {
  const arrivals: BadArrival[] = [];
  const running = new Map<number, { id: string; server: AnnouncedServer }>();
  let starts = 0;
  let ended = 0;
  let isOver = false;

  const partOf = ({ headers }: ReceivedRequest): string | undefined => {
    const ids = (headers.get('x-prefix-hash') ?? '').split(',').map((part) => part.split(':')[0]);
    return row.parts.find((part) => ids.slice(0, -1).includes(part));
  };

  const crash = async (index: number): Promise<void> => {
    const crashed = running.get(index);
    if (crashed === undefined || isOver) return;
    running.delete(index);
    ended += 1;
    await crashed.server[Symbol.asyncDispose]();
    await sleep(BACK_AFTER_MS);
    store.remove(`servers/${crashed.id}`);
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- each calls the other
    if (!isOver) await start(index);
  };

  const start = async (index: number): Promise<void> => {
    starts += 1;
    const id = `server-${starts}`;
    const server = await openAnnouncedServer((request, socket) => {
      if (request.path === '/health') {
        socket.write(wholeAnswer(request, ''));
        return;
      }
      const part = partOf(request);
      if (part !== undefined) arrivals.push({ part, atMs: Date.now() });
      setTimeout(() => {
        if (socket.destroyed) return;
        if (part !== undefined) {
          void crash(index);
          return;
        }
        socket.write(streamHead(request));
        let event = 1;
        const timer = setInterval(() => {
          if (socket.destroyed || event > EVENTS) {
            clearInterval(timer);
            if (!socket.destroyed) socket.write(chunkOf(''));
            return;
          }
          socket.write(chunkOf(`id: ${event}\ndata: piece ${event}\n\n`));
          event += 1;
        }, EVENT_GAP_MS);
      }, PREFILL_MS);
    });
    running.set(index, { id, server });
    const entry = { Zone: domainOf(index), Slots: SLOTS };
    store.put(`servers/${id}`, serverEntry(server.address, entry));
  };

  for (let index = 0; index < SERVERS; index += 1) await start(index);
  owned.add({
    async [Symbol.asyncDispose]() {
      isOver = true;
      await Promise.all([...running.values()].map(({ server }) => server[Symbol.asyncDispose]()));
    },
  });
  return {
    arrivals,
    ended: () => ended,
    async crashOne(random) {
      const indices = [...running.keys()];
      await crash(indices[pickIndex(random, indices.length)] ?? 0);
    },
  };
}

/** Asks for a stream; resolves with whether its answer began. */
async function ask(address: string, number: number, prompt: readonly string[]): Promise<boolean> {
  const { status, text } = await askWithParts({
    address,
    requestId: `r-${number}`,
    parts: [...prompt, `f${number.toString(16)}`],
    outputTokens: OUTPUT_TOKENS,
    deadlineMs: DEADLINE_MS,
  });
  return status === 200 && text !== '';
}

interface SoundRequest {
  readonly atMs: number;
  readonly hasBegun: boolean;
}

function shareBegun(requests: readonly SoundRequest[], fromMs: number, untilMs: number): number {
  const counted = requests.filter(({ atMs }) => atMs >= fromMs && atMs < untilMs);
  return counted.filter(({ hasBegun }) => hasBegun).length / Math.max(1, counted.length);
}

/** Returns the time of the fifth arrival of a part, or of the last one if there are fewer. */
function fifthAtMs(arrivals: readonly BadArrival[]): number {
  return arrivals[Math.min(CRASHES_ALLOWED, arrivals.length) - 1]?.atMs ?? -Infinity;
}

function killTwo(instances: SoakInstances): void {
  instances.signal(0, 'SIGKILL');
  instances.signal(1, 'SIGKILL');
}

async function measure(row: Row): Promise<void> {
  const owned = createDisposableStore();
  const { prompt = (part: string, subject: string) => [SYSTEM_PART, part, subject] } = row;
  try {
    const random = createSeededRandom(SEED);
    const store = owned.add(await openStoreStandIn());
    store.put('op/config', { ...configurationOf(2), Tenants: undefined });
    const servers = await openServers(row, store, owned);
    const instances = owned.add(
      await startBenchInstances({ count: INSTANCES, store, name: 'crashing-parts' }),
    );
    const sound: Promise<SoundRequest>[] = [];
    const bad: Promise<unknown>[] = [];
    let number = 0;
    const subject = () => `c${pickIndex(random, SUBJECTS)}`;
    const send = (parts: readonly string[]): Promise<boolean> => {
      number += 1;
      return ask(instances.callerAddress(pickIndex(random, INSTANCES)), number, parts);
    };
    const startMs = Date.now();
    const troubleMs = startMs + CALM_MS;
    const endMs = troubleMs + TROUBLE_MS;
    let killsLeft = row.killsInstances === true ? 2 : 0;
    for (let nowMs = startMs; nowMs < endMs; nowMs = Date.now()) {
      const atMs = nowMs;
      sound.push(send([SYSTEM_PART, subject()]).then((hasBegun) => ({ atMs, hasBegun })));
      const happens = (perS: number) =>
        nowMs >= troubleMs && random.next() < (perS * SOUND_GAP_MS) / 1_000;
      for (const part of row.parts) {
        if (happens(row.badPerS)) bad.push(send(prompt(part, subject(), number)));
      }
      if (happens(row.otherCrashesPerS ?? 0)) void servers.crashOne(random);
      if (killsLeft > 0 && nowMs >= troubleMs + (3 - killsLeft) * 3_000) {
        killTwo(instances);
        killsLeft -= 1;
      }
      await sleep(SOUND_GAP_MS);
    }
    const sounds = await Promise.all(sound);
    await Promise.all(bad);
    const arrivalsOf = (part: string) => servers.arrivals.filter((one) => one.part === part);
    const late = row.parts.map((part) => {
      const lateFromMs = fifthAtMs(arrivalsOf(part)) + ALLOWED_AFTER_MS;
      return arrivalsOf(part).filter(({ atMs }) => atMs >= lateFromMs).length;
    });
    const lastFifthMs = Math.max(
      troubleMs,
      ...row.parts.map((part) => fifthAtMs(arrivalsOf(part))),
    );
    const cells = [
      row.name,
      row.parts.length === 0 ? '-' : late.join(' and '),
      servers.ended(),
      shareBegun(sounds, startMs + 1_000, troubleMs).toFixed(3),
      shareBegun(sounds, troubleMs, lastFifthMs + SOUND_FROM_MS).toFixed(3),
      shareBegun(sounds, lastFifthMs + SOUND_FROM_MS, endMs).toFixed(3),
    ];
    console.log(`| ${cells.join(' | ')} |`);
  } finally {
    await owned[Symbol.asyncDispose]();
  }
}

console.log(
  '| row | reached servers from 5 s after the fifth crash on | servers ended | sound requests that began, calm | until 10 s after the fifth crash | later |',
);
console.log('| --- | --- | --- | --- | --- | --- |');
await measureRows(ROWS, process.argv.slice(2), measure);
process.exit(0);
