import { printFigures } from '../figures';
import type { Figure } from '../figures';
import { BENCH_KEY, startGatewayUnderTest } from './gateway-under-test';
import type { GatewayUnderTest } from './gateway-under-test';
import { runLoad } from './load';
import type { LoadPlan } from './load';
import { startPlainRelay } from './plain-relay';

/** What the gateway adds to a direct call, and what a request and a streamed token cost it. */

const HEADERS = { authorization: `Bearer ${BENCH_KEY}`, 'content-type': 'application/json' };
const CHAT_BODY = JSON.stringify({ model: 'kit-large', stream: true, messages: [] });
const WARM_UP_REQUESTS = 3_000;
const LATENCY_REQUESTS = 3_000;
const THROUGHPUT_REQUESTS = 15_000;
const THROUGHPUT_CONCURRENCY = 32;
const STREAMS = 200;
const STREAM_TOKENS = 200;
/** Far apart enough that each token travels in a packet of its own, as it does from an engine. */
const STREAM_TOKEN_INTERVAL_MS = 20;

function lookUp(origin: string, direct: boolean, requests: number, concurrency: number): LoadPlan {
  const path = direct ? '/stock' : '/services/stock/stock';
  return { origin, method: 'GET', path, headers: HEADERS, requests, concurrency };
}

async function measureLatency(gateway: GatewayUnderTest): Promise<Figure[]> {
  const origin = `http://${gateway.application.address}`;
  await runLoad(lookUp(gateway.url, false, WARM_UP_REQUESTS, THROUGHPUT_CONCURRENCY));
  const direct = await runLoad(lookUp(origin, true, LATENCY_REQUESTS, 1));
  const through = await runLoad(lookUp(gateway.url, false, LATENCY_REQUESTS, 1));
  const against = (value: number) => ({ name: 'direct call', value });
  return [
    { name: 'look-up p50', value: through.p50Ms, unit: 'ms', baseline: against(direct.p50Ms) },
    { name: 'look-up p99', value: through.p99Ms, unit: 'ms', baseline: against(direct.p99Ms) },
  ];
}

async function measureThroughput(gateway: GatewayUnderTest): Promise<Figure[]> {
  const before = await gateway.processorSeconds();
  const result = await runLoad(
    lookUp(gateway.url, false, THROUGHPUT_REQUESTS, THROUGHPUT_CONCURRENCY),
  );
  const usedSeconds = (await gateway.processorSeconds()) - before;
  return [
    { name: 'requests per core', value: result.requests / usedSeconds, unit: 'requests/s' },
    { name: 'processor time', value: (usedSeconds / result.requests) * 1e6, unit: 'µs/request' },
  ];
}

interface StreamTarget {
  readonly url: string;
  processorSeconds(): Promise<number>;
}

async function microsecondsPerToken(target: StreamTarget): Promise<number> {
  const plan: LoadPlan = {
    origin: target.url,
    method: 'POST',
    path: '/v1/chat/completions',
    headers: HEADERS,
    body: CHAT_BODY,
    requests: STREAMS,
    concurrency: STREAMS,
  };
  const before = await target.processorSeconds();
  await runLoad(plan);
  const usedSeconds = (await target.processorSeconds()) - before;
  return (usedSeconds / (STREAMS * STREAM_TOKENS)) * 1e6;
}

async function measureStreaming(gateway: GatewayUnderTest): Promise<Figure[]> {
  for (const { behaviour } of gateway.engines) {
    behaviour.answerTokens = STREAM_TOKENS;
    behaviour.tokenIntervalMs = STREAM_TOKEN_INTERVAL_MS;
  }
  const relay = await startPlainRelay(gateway.engines[0]?.address ?? '');
  const relayed = await microsecondsPerToken(relay);
  relay[Symbol.dispose]();
  const value = await microsecondsPerToken(gateway);
  const memory = (await gateway.residentBytes()) / 2 ** 20;
  return [
    {
      name: 'streamed token',
      value,
      unit: 'µs/token',
      baseline: { name: 'copying bytes between sockets', value: relayed },
    },
    { name: 'resident memory after it', value: memory, unit: 'MiB' },
  ];
}

async function main(): Promise<void> {
  const gateway = await startGatewayUnderTest();
  try {
    const figures = [
      ...(await measureLatency(gateway)),
      ...(await measureThroughput(gateway)),
      ...(await measureStreaming(gateway)),
    ];
    printFigures('edge', figures);
  } finally {
    await gateway[Symbol.asyncDispose]();
  }
}

void main();
