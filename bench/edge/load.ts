import { build } from 'hdr-histogram-js';
import { Agent } from 'undici';

/** What a round of requests gave. */
export interface LoadResult {
  readonly requests: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly requestsPerSecond: number;
  /** Bytes of all answers. */
  readonly answerBytes: number;
}

/** A bounded round of equal requests. */
export interface LoadPlan {
  /** http://ip:port */
  readonly origin: string;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body?: string;
  readonly requests: number;
  readonly concurrency: number;
}

const MICROSECONDS = 1000;
const HIGHEST_MICROSECONDS = 60_000_000;

/** Sends the round and measures each request to its last byte. */
export async function runLoad(plan: LoadPlan): Promise<LoadResult> {
  const agent = new Agent({ connections: plan.concurrency, pipelining: 1 });
  const latency = build({ highestTrackableValue: HIGHEST_MICROSECONDS });
  let started = 0;
  let answerBytes = 0;

  const runOne = async () => {
    const startedAtMs = performance.now();
    const answer = await agent.request({
      origin: plan.origin,
      path: plan.path,
      method: plan.method,
      headers: plan.headers,
      body: plan.body ?? null,
    });
    if (answer.statusCode !== 200) throw new Error(`status ${answer.statusCode}`);
    for await (const chunk of answer.body) answerBytes += (chunk as Buffer).length;
    latency.recordValue(Math.round((performance.now() - startedAtMs) * MICROSECONDS));
  };
  const runCaller = async () => {
    while (started < plan.requests) {
      started += 1;
      await runOne();
    }
  };

  const startedAtMs = performance.now();
  await Promise.all(Array.from({ length: plan.concurrency }, runCaller));
  const tookSeconds = (performance.now() - startedAtMs) / 1000;
  await agent.close();
  return {
    requests: plan.requests,
    p50Ms: latency.getValueAtPercentile(50) / MICROSECONDS,
    p99Ms: latency.getValueAtPercentile(99) / MICROSECONDS,
    requestsPerSecond: plan.requests / tookSeconds,
    answerBytes,
  };
}
