import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import { ask, keepConnections } from '../harness/client';
import { later, openEngine, successText } from '../harness/engine';
import type { Connection, Engine, Run } from '../harness/engine';
import { NET, startGateways } from '../harness/gateways';
import { HAS_TROUBLE, createRecord, runCase } from '../harness/record';
import { openStore } from '../harness/store';

/**
 * Engines that are full reject requests. Of some of these answers, a second copy comes late, where the next answer on the
 * connection is expected. Orders must still run at most once, and none that has run may be answered 503.
 */

const HOST = 'kits.example';
const SERVICE = 'yard-orders';
const PLACES = [
  { zone: 'hall-a', region: 'windhoek' },
  { zone: 'hall-a', region: 'windhoek' },
  { zone: 'hall-a', region: 'windhoek' },
];
const ENGINES = 5;
/** Engines that send some answers twice: the largest share on the pages is 0.6. */
const FAULTY_ENGINES = 3;
const SLOTS = 2;
const QUEUE = 2;
const WORK_MS = 60;
const DEADLINE_MS = 4_000;
const SECONDS = 25;
const REQUESTS_PER_S = 230;
/** A faulty engine sends each answer of which this is the number twice: the largest share on the pages is 0.03. */
const EXTRA_EVERY = 34;
/** Times in which they do, s; the longest on the pages is 5 s. */
const EXTRA_FROM_S = [2, 10, 18];
const EXTRA_S = 5;

const CONFIGURATION = {
  Version: 7,
  Routes: [
    { Name: 'order-post', Prefix: '/orders/', Kind: 'unsafe', MaxAttempts: 2 },
    { Name: 'stock-check', Prefix: '/stock/', Kind: 'safe', MaxAttempts: 2 },
  ].map((route) => ({
    Host: HOST,
    Service: SERVICE,
    TimeoutMs: 6_000,
    TargetLatencyMs: 400,
    Priority: 2,
    ...route,
  })),
  Services: [{ Name: SERVICE, HealthPath: '/health', MaxConnections: 110 }],
  Limits: {
    MaxHeaderBytes: 16_384,
    MaxBodyBytes: 4_194_304,
    HeaderTimeoutMs: 3_000,
    IdleTimeoutMs: 15_000,
  },
};

const record = createRecord(1);

async function run(): Promise<void> {
  const store = await openStore(`${NET}.1`);
  store.put('op/config', CONFIGURATION);
  /** Engines that ran each order, in order. */
  const runs = new Map<string, string[]>();
  let rejections = 0;
  let startedAtMs = Infinity;
  const extras = { rejections: 0, successes: 0 };
  const answersOf = new Map<number, number>();
  /** Returns whether the answer that an engine gives now is one that it sends twice. */
  const isDoubled = (index: number): boolean => {
    const sinceS = (performance.now() - startedAtMs) / 1_000;
    const isTrouble = EXTRA_FROM_S.some((fromS) => sinceS >= fromS && sinceS < fromS + EXTRA_S);
    if (!HAS_TROUBLE || !isTrouble || index >= FAULTY_ENGINES) return false;
    const answers = (answersOf.get(index) ?? 0) + 1;
    answersOf.set(index, answers);
    return answers % EXTRA_EVERY === 0;
  };
  const onRun = (index: number, begun: Run): void => {
    const { engineId, request, connection, end } = begun;
    const ran = runs.get(request.requestId) ?? [];
    ran.push(engineId);
    runs.set(request.requestId, ran);
    later(WORK_MS, () => {
      const answer = successText(begun, 'done');
      connection.socket.write(answer);
      if (isDoubled(index)) {
        extras.successes += 1;
        connection.sendAgain(answer);
      }
      end();
    });
  };
  const onRejected = (index: number, connection: Connection, answer: string): void => {
    rejections += 1;
    if (!isDoubled(index)) return;
    extras.rejections += 1;
    connection.sendAgain(answer);
  };
  const engines: Engine[] = [];
  for (let index = 0; index < ENGINES; index += 1) {
    const engine = await openEngine(
      {
        id: `i-${index + 1}`,
        host: `${NET}.${200 + index}`,
        zone: 'hall-a',
        service: SERVICE,
        slots: SLOTS,
        queue: QUEUE,
        heartbeatMs: 1_200,
        onRun: (begun) => onRun(index, begun),
        onRejected: (connection, answer) => onRejected(index, connection, answer),
        log: record.log,
      },
      store,
    );
    engines.push(engine);
  }
  const { gateways, close } = await startGateways(PLACES, store.address);
  await sleep(2_000);

  const agents = gateways.map(() => keepConnections());
  const statuses = new Map<string, number | undefined>();
  const open: Promise<void>[] = [];
  const total = SECONDS * REQUESTS_PER_S;
  startedAtMs = performance.now();
  for (let number = 0; number < total; number += 1) {
    await sleep(Math.max(0, startedAtMs + (number * 1_000) / REQUESTS_PER_S - performance.now()));
    const at = number % gateways.length;
    const gateway = gateways[at];
    const agent = agents[at];
    if (gateway === undefined || agent === undefined) continue;
    const isOrder = number % 2 === 0;
    const requestId = `${isOrder ? 'order' : 'stock'}-${number}`;
    const send = async (): Promise<void> => {
      const answer = await ask(gateway, {
        requestId,
        method: isOrder ? 'POST' : 'GET',
        path: isOrder ? '/orders/new' : '/stock/7',
        host: HOST,
        deadlineMs: DEADLINE_MS,
        agent,
        ...(isOrder ? { body: `order ${number}` } : {}),
      });
      statuses.set(requestId, answer.status);
      record.log('answered', { machine: gateway.name, requestId, status: answer.status });
    };
    open.push(send());
  }
  await Promise.all(open);
  await sleep(1_000);
  close();
  for (const engine of engines) engine.close();
  store.close();

  const orders = [...runs].filter(([requestId]) => requestId.startsWith('order-'));
  const twice = orders.filter(([, ran]) => ran.length > 1);
  const refused = orders.filter(([requestId]) => [429, 503].includes(statuses.get(requestId) ?? 0));
  for (const [requestId, ran] of twice) record.log('ran more than once', { requestId, ran });
  for (const [requestId, ran] of refused) {
    record.log('refused though it ran', { requestId, ran, status: statuses.get(requestId) });
  }
  const served = [...statuses.values()].filter((status) => status === 200).length;
  const summary = `${total} requests, ${served} served, ${rejections} rejections by engines, ${extras.rejections} of them sent twice, ${extras.successes} other answers sent twice; TWICE: ${twice.length} orders; REFUSED: ${refused.length} orders`;
  if (served === 0) record.finish('could not run', summary);
  record.finish(twice.length + refused.length > 0 ? 'broken' : 'held', summary);
}

runCase(record, run);
