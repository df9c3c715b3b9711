import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import { ask, keepConnections } from '../harness/client';
import { later, openEngine, successText } from '../harness/engine';
import type { Engine, Run } from '../harness/engine';
import { NET, startGateways } from '../harness/gateways';
import { HAS_TROUBLE, createRecord, runCase } from '../harness/record';
import { openStore } from '../harness/store';

/**
 * One engine spoils a few of its answers: the first digit of the status is 0 in place of 2. Every request must still get a
 * final answer by half a second after the timeout of its route.
 */

const HOST = 'kits.example';
const SERVICE = 'yard-orders';
const PLACES = [
  { zone: 'hall-a', region: 'windhoek' },
  { zone: 'hall-a', region: 'windhoek' },
  { zone: 'hall-a', region: 'windhoek' },
];
const ENGINES = 4;
const SLOTS = 6;
const QUEUE = 24;
const WORK_MS = 40;
const TIMEOUT_MS = 2_000;
const SLACK_MS = 500;
/** Longer than the timeout of the routes, so that clients still wait when the machine has to answer. */
const DEADLINE_MS = 6_000;
const SECONDS = 30;
const REQUESTS_PER_S = 60;
const TROUBLE_FROM_S = 5;
const TROUBLE_TO_S = 10;
/** The faulty engine spoils each answer of which this is the number: the pages' default is 0.02 of the answers. */
const SPOILED_EVERY = 50;
/** The rule is broken by this many requests, and over this share of those that lasted longer than their timeout. */
const MIN_UNANSWERED = 8;
const MAX_SHARE = 0.25;

const CONFIGURATION = {
  Version: 7,
  Routes: [
    { Name: 'order-post', Prefix: '/orders/', Kind: 'unsafe', MaxAttempts: 1 },
    { Name: 'stock-check', Prefix: '/stock/', Kind: 'safe', MaxAttempts: 2 },
  ].map((route) => ({
    Host: HOST,
    Service: SERVICE,
    TimeoutMs: TIMEOUT_MS,
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

const record = createRecord(2);

interface Sent {
  readonly requestId: string;
  readonly machine: string;
  readonly sentAtMs: number;
  answeredAtMs: number;
}

async function run(): Promise<void> {
  const store = await openStore(`${NET}.1`);
  store.put('op/config', CONFIGURATION);
  let startedAtMs = Infinity;
  let answersOfFaulty = 0;
  let spoiled = 0;
  const isSpoiled = (engineId: string): boolean => {
    const sinceS = (performance.now() - startedAtMs) / 1_000;
    if (engineId !== 'i-1' || sinceS < TROUBLE_FROM_S || sinceS > TROUBLE_TO_S) return false;
    answersOfFaulty += 1;
    return HAS_TROUBLE && answersOfFaulty % SPOILED_EVERY === 0;
  };
  const onRun = (begun: Run): void => {
    const { engineId, request, connection } = begun;
    later(WORK_MS, () => {
      const answer = successText(begun, 'done');
      if (isSpoiled(engineId)) {
        spoiled += 1;
        record.log('spoils its answer', {
          engine: engineId,
          requestId: request.requestId,
        });
        connection.socket.write(answer.replace('HTTP/1.1 200', 'HTTP/1.1 000'));
      } else {
        connection.socket.write(answer);
      }
      begun.end();
    });
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
        onRun,
        log: record.log,
      },
      store,
    );
    engines.push(engine);
  }
  const { gateways, close } = await startGateways(PLACES, store.address);
  await sleep(2_000);

  const agents = gateways.map(() => keepConnections());
  /** Machines that have failed a client, which asks the others from then on. */
  const failed = new Set<string>();
  const all: Sent[] = [];
  const open: Promise<void>[] = [];
  const statuses = new Map<number | undefined, number>();
  const total = SECONDS * REQUESTS_PER_S;
  startedAtMs = performance.now();
  for (let number = 0; number < total; number += 1) {
    await sleep(Math.max(0, startedAtMs + (number * 1_000) / REQUESTS_PER_S - performance.now()));
    const usable = gateways.filter(({ name }) => !failed.has(name));
    const gateway = usable[number % usable.length];
    const agent = agents[gateways.findIndex(({ name }) => name === gateway?.name)];
    if (gateway === undefined || agent === undefined) continue;
    const isOrder = number % 2 === 0;
    const requestId = `${isOrder ? 'order' : 'stock'}-${number}`;
    const sent: Sent = {
      requestId,
      machine: gateway.name,
      sentAtMs: performance.now(),
      answeredAtMs: Infinity,
    };
    all.push(sent);
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
      if (answer.isComplete) sent.answeredAtMs = performance.now();
      if (answer.status === undefined) failed.add(gateway.name);
      statuses.set(answer.status, (statuses.get(answer.status) ?? 0) + 1);
      const afterMs = Math.round(performance.now() - sent.sentAtMs);
      record.log('answered', { machine: gateway.name, requestId, status: answer.status, afterMs });
    };
    open.push(send());
  }
  await Promise.all(open);
  const ended = gateways.map(({ name, ended: how }) => `${name} ${how() ?? 'runs'}`).join(', ');
  close();
  for (const engine of engines) engine.close();
  store.close();

  const overdue = all.filter((sent) => sent.answeredAtMs - sent.sentAtMs > TIMEOUT_MS);
  const unanswered = overdue.filter(
    (sent) => sent.answeredAtMs - sent.sentAtMs > TIMEOUT_MS + SLACK_MS,
  );
  const machines = [...new Set(unanswered.map(({ machine }) => machine))].sort().join(', ');
  const served = statuses.get(200) ?? 0;
  const summary = `${all.length} requests, ${served} served, ${spoiled} answers spoiled; ${overdue.length} lasted longer than the route's timeout, ${unanswered.length} of them had no answer ${SLACK_MS} ms later, at: ${machines}; processes: ${ended}`;
  if (served === 0) record.finish('could not run', summary);
  const isBroken =
    unanswered.length >= MIN_UNANSWERED && unanswered.length > overdue.length * MAX_SHARE;
  record.finish(isBroken ? 'broken' : 'held', summary);
}

runCase(record, run);
