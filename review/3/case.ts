import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import { ask, keepConnections } from '../harness/client';
import { later, openEngine, successText } from '../harness/engine';
import type { Engine, Run } from '../harness/engine';
import { NET, startGateways } from '../harness/gateways';
import { HAS_TROUBLE, createRecord, runCase } from '../harness/record';
import { openStore } from '../harness/store';

/**
 * A zone, which has all engines of its region, is evacuated, so that its machines send the requests of their clients to
 * another region. The paths of the requests are those of the users' own applications, and each must still reach an engine.
 */

const HOST = 'kits.example';
const SERVICE = 'yard-orders';
const PLACES = [
  { zone: 'wdh-hall-a', region: 'windhoek' },
  { zone: 'wdh-hall-a', region: 'windhoek' },
  { zone: 'wvb-hall-a', region: 'walvis' },
  { zone: 'wvb-hall-a', region: 'walvis' },
];
const ENGINE_ZONES = ['wdh-hall-a', 'wdh-hall-a', 'wvb-hall-a', 'wvb-hall-a'];
const WORK_MS = 40;
const DEADLINE_MS = 4_000;
const SECONDS = 16;
const REQUESTS_PER_S = 40;
const EVACUATION_FROM_S = 4;
const EVACUATION_TO_S = 12;
const REQUESTS: readonly (readonly [method: string, path: string])[] = [
  ['GET', '/stock/7'],
  ['POST', '/orders/new'],
  ['GET', '/changes'],
  ['POST', '/load'],
];
/** The rule allows this many refusals, and one in so many of all requests. */
const ALLOWED = 5;
const ALLOWED_ONE_IN = 500;
const ALLOWED_STATUSES: readonly number[] = [408, 421, 429];

const CONFIGURATION = {
  Version: 7,
  Routes: [
    { Name: 'stock-check', Prefix: '/', Kind: 'safe', MaxAttempts: 2 },
    { Name: 'order-post', Prefix: '/orders/', Kind: 'unsafe', MaxAttempts: 1 },
  ].map((route) => ({
    Host: HOST,
    Service: SERVICE,
    TimeoutMs: 4_000,
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

const record = createRecord(3);

async function run(): Promise<void> {
  const store = await openStore(`${NET}.1`);
  store.put('op/config', CONFIGURATION);
  const ran = new Set<string>();
  const onRun = (begun: Run): void => {
    ran.add(begun.request.requestId);
    later(WORK_MS, () => {
      begun.connection.socket.write(successText(begun, 'done'));
      begun.end();
    });
  };
  const engines: Engine[] = [];
  for (const [index, zone] of ENGINE_ZONES.entries()) {
    const engine = await openEngine(
      {
        id: `i-${index + 1}`,
        host: `${NET}.${200 + index}`,
        zone,
        service: SERVICE,
        slots: 6,
        queue: 24,
        heartbeatMs: 1_200,
        onRun,
        log: record.log,
      },
      store,
    );
    engines.push(engine);
  }
  const { gateways, close } = await startGateways(PLACES, store.address);
  await sleep(5_000);

  // All clients are in the region of the zone that is evacuated.
  const entries = gateways.slice(0, 2);
  const agents = entries.map(() => keepConnections());
  const counts = new Map<string, number>();
  const denied = new Set<string>();
  const open: Promise<void>[] = [];
  const total = SECONDS * REQUESTS_PER_S;
  const startedAtMs = performance.now();
  let isEvacuated = false;
  for (let number = 0; number < total; number += 1) {
    const dueS = number / REQUESTS_PER_S;
    await sleep(Math.max(0, startedAtMs + dueS * 1_000 - performance.now()));
    const evacuates = HAS_TROUBLE && dueS >= EVACUATION_FROM_S && dueS < EVACUATION_TO_S;
    if (evacuates !== isEvacuated) {
      isEvacuated = evacuates;
      record.log(evacuates ? 'the zone is evacuated' : 'the zone is taken back');
      if (evacuates) store.put('op/evacuate/wdh-hall-a', {});
      else store.remove('op/evacuate/wdh-hall-a');
    }
    const at = Math.floor(number / REQUESTS.length) % entries.length;
    const gateway = entries[at];
    const agent = agents[at];
    const [method, path] = REQUESTS[number % REQUESTS.length] ?? ['GET', '/stock/7'];
    if (gateway === undefined || agent === undefined) continue;
    const requestId = `request-${number}`;
    const send = async (): Promise<void> => {
      const { status, body } = await ask(gateway, {
        requestId,
        method,
        path,
        host: HOST,
        deadlineMs: DEADLINE_MS,
        agent,
        ...(method === 'POST' ? { body: 'one truss pack' } : {}),
      });
      const kind = `${method} ${path} ${status ?? 'without an answer'}`;
      counts.set(kind, (counts.get(kind) ?? 0) + 1);
      const hasRun = ran.has(requestId);
      const answered = { machine: gateway.name, requestId, method, path, status, hasRun };
      record.log('answered', status === 200 ? answered : { ...answered, body });
      if (status === undefined || status < 300 || status >= 500) return;
      if (!hasRun && !ALLOWED_STATUSES.includes(status)) denied.add(requestId);
    };
    open.push(send());
  }
  await Promise.all(open);
  close();
  for (const engine of engines) engine.close();
  store.close();

  const allowed = ALLOWED + total / ALLOWED_ONE_IN;
  const list = [...counts].sort().map(([kind, count]) => `${kind}: ${count}`);
  const summary = `${total} requests, ${denied.size} ended with a 4xx of the system's own (allowed: ${allowed}); ${list.join(', ')}`;
  if (ran.size === 0) record.finish('could not run', summary);
  record.finish(denied.size > allowed ? 'broken' : 'held', summary);
}

runCase(record, run);
