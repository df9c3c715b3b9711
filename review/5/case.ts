import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import { ask } from '../harness/client';
import { later, openEngine } from '../harness/engine';
import type { Engine, Run } from '../harness/engine';
import { NET, startGateways } from '../harness/gateways';
import { HAS_TROUBLE, createRecord, runCase } from '../harness/record';
import { openStore } from '../harness/store';

/**
 * One engine turns slow for some seconds, so that its streams pause for longer than usual and go on. A stream that goes on at
 * another engine must have left the slow one 400 ms later.
 */

const HOST = 'kits.example';
const SERVICE = 'kit-assist';
const PLACES = [
  { zone: 'wdh-hall-a', region: 'windhoek' },
  { zone: 'wdh-hall-a', region: 'windhoek' },
];
const ENGINES = 7;
const SLOW_ENGINE = 'i-1';
const EVENTS = 24;
const EVENT_GAP_MS = 290;
const SLOW_FACTOR = 5;
const DEADLINE_MS = 15_000;
const SECONDS = 20;
const STREAMS_PER_S = 7;
const TROUBLE_FROM_S = 5;
const TROUBLE_TO_S = 11.5;
/** Time within which the engine before has to be left, ms. */
const LEAVE_WITHIN_MS = 400;

const CONFIGURATION = {
  Version: 7,
  Routes: [
    {
      Name: 'quote-chat',
      Host: HOST,
      Prefix: '/chat/',
      Kind: 'streaming',
      Resumable: true,
      Service: SERVICE,
      MaxAttempts: 2,
      TimeoutMs: DEADLINE_MS,
      TargetLatencyMs: 600,
      GapAimMs: 300,
      Priority: 0,
    },
  ],
  Services: [{ Name: SERVICE, HealthPath: '/health', MaxConnections: 370 }],
  Limits: {
    MaxHeaderBytes: 16_384,
    MaxBodyBytes: 4_194_304,
    HeaderTimeoutMs: 3_000,
    IdleTimeoutMs: 15_000,
  },
};

const record = createRecord(5);

/** What one engine did for one request. */
interface Work {
  readonly engineId: string;
  readonly requestId: string;
  readonly begunAtMs: number;
  readonly eventsAtMs: number[];
  /** Event after which it went on; undefined if it began the stream. */
  readonly lastEventId: string | undefined;
}

function chunkOf(text: string): string {
  return `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;
}

async function run(): Promise<void> {
  const store = await openStore(`${NET}.1`);
  store.put('op/config', CONFIGURATION);
  let startedAtMs = Infinity;
  const works: Work[] = [];
  const isSlow = (engineId: string): boolean => {
    const sinceS = (performance.now() - startedAtMs) / 1_000;
    const isTrouble = sinceS >= TROUBLE_FROM_S && sinceS < TROUBLE_TO_S;
    return HAS_TROUBLE && isTrouble && engineId === SLOW_ENGINE;
  };
  const onRun = ({ engineId, request, connection, end }: Run): void => {
    const { socket } = connection;
    const { requestId } = request;
    const lastEventId = request.headers.get('last-event-id');
    const work: Work = {
      engineId,
      requestId,
      begunAtMs: performance.now(),
      eventsAtMs: [],
      lastEventId,
    };
    works.push(work);
    const head = [
      'HTTP/1.1 200 OK',
      `X-Request-Id: ${requestId}`,
      `X-Response-Signature: signed-by-${engineId}`,
      'Content-Type: text/event-stream',
      'Transfer-Encoding: chunked',
    ];
    socket.write(`${head.join('\r\n')}\r\n\r\n`);
    let event = Number(lastEventId ?? 0);
    const writeNext = (): void => {
      if (socket.destroyed) {
        record.log('is left', { engine: engineId, requestId, afterEvent: event });
        end();
        return;
      }
      event += 1;
      work.eventsAtMs.push(performance.now());
      socket.write(chunkOf(`id: ${event}\ndata: words ${event}\n\n`));
      if (event < EVENTS) {
        later(isSlow(engineId) ? EVENT_GAP_MS * SLOW_FACTOR : EVENT_GAP_MS, writeNext);
        return;
      }
      socket.write(chunkOf(''));
      end();
    };
    later(20, writeNext);
  };
  const engines: Engine[] = [];
  for (let index = 0; index < ENGINES; index += 1) {
    const engine = await openEngine(
      {
        id: `i-${index + 1}`,
        host: `${NET}.${200 + index}`,
        zone: 'wdh-hall-a',
        service: SERVICE,
        slots: 64,
        queue: 134,
        heartbeatMs: 1_200,
        onRun,
        log: record.log,
      },
      store,
    );
    engines.push(engine);
  }
  const { gateways, close } = await startGateways(PLACES, store.address);
  await sleep(2_000);

  const open: Promise<void>[] = [];
  const whole = new Set<string>();
  const total = SECONDS * STREAMS_PER_S;
  startedAtMs = performance.now();
  for (let number = 0; number < total; number += 1) {
    await sleep(Math.max(0, startedAtMs + (number * 1_000) / STREAMS_PER_S - performance.now()));
    const gateway = gateways[number % gateways.length];
    if (gateway === undefined) continue;
    const requestId = `chat-${number}`;
    const send = async (): Promise<void> => {
      const { status, isComplete } = await ask(gateway, {
        requestId,
        method: 'POST',
        path: '/chat/new',
        host: HOST,
        deadlineMs: DEADLINE_MS,
        body: `question ${number}`,
      });
      if (status === 200 && isComplete) whole.add(requestId);
      record.log('answered', { machine: gateway.name, requestId, status, isComplete });
    };
    open.push(send());
  }
  await Promise.all(open);
  close();
  for (const engine of engines) engine.close();
  store.close();

  const goneOn = works.filter(({ lastEventId }) => lastEventId !== undefined);
  const broken = goneOn.flatMap((resumed) => {
    const before = works.find(
      ({ requestId, engineId }) => requestId === resumed.requestId && engineId !== resumed.engineId,
    );
    const late = (before?.eventsAtMs ?? []).filter(
      (atMs) => atMs > resumed.begunAtMs + LEAVE_WITHIN_MS,
    );
    // One that was left at the second engine again didn't go on there.
    const wentOn = resumed.eventsAtMs.some((atMs) => atMs > resumed.begunAtMs + LEAVE_WITHIN_MS);
    const lastAtMs = late.at(-1);
    if (before === undefined || lastAtMs === undefined || !wentOn) return [];
    const stillAfterMs = Math.round(lastAtMs - resumed.begunAtMs);
    const { requestId, lastEventId } = resumed;
    record.log('went on while the engine before still worked', {
      requestId,
      lastEventId,
      at: resumed.engineId,
      before: before.engineId,
      eventsMadeThereLater: late.length,
      stillAfterMs,
    });
    return [stillAfterMs];
  });
  const longest = Math.max(0, ...broken);
  const summary = `${total} streams, ${whole.size} whole; ${goneOn.length} went on at another engine, ${broken.length} of them while the engine before made events more than ${LEAVE_WITHIN_MS} ms later, ${longest} ms at most`;
  if (whole.size === 0) record.finish('could not run', summary);
  record.finish(broken.length > 0 ? 'broken' : 'held', summary);
}

runCase(record, run);
