import type { EventQueue } from './event-queue';
import type { CacheListener, FakeServer, ServerCounts, ServerJob } from './fake-server';
import { createPrefixCache } from './prefix-cache';
import type { EngineSpec } from './types';

interface Sequence {
  readonly job: ServerJob;
  readonly tokens: number;
  cachedTokens: number;
  prefillLeft: number;
  generated: number;
}

const ROOMY_SHARE = 0.5;

function tokensOf(job: ServerJob): number {
  return job.work.promptTokens + job.work.outputTokens;
}

/**
 * An engine that batches continuously: each step computes at most one chunk of prompts and one token for each
 * sequence past its prompt. A long prompt therefore lengthens the steps of all others, which is why long
 * work among short matters.
 */
export function createFakeEngine(
  spec: EngineSpec,
  queue: EventQueue,
  cacheListener: CacheListener,
): FakeServer {
  const cache = createPrefixCache(spec.prefixCacheTokens);
  const counts: ServerCounts = { busyMs: 0, prefillTokens: 0, recomputedPrefixTokens: 0 };
  /** In order of coming; a set, since overload makes it long and callers give up out of turn. */
  const waiting = new Set<ServerJob>();
  let waitingTokens = 0;
  let running: Sequence[] = [];
  let usedTokens = 0;
  let slowFactor = 1;
  let isUp = true;
  let isStepping = false;
  /** Rises with each crash, so that a step begun before it ends without effect. */
  let life = 0;

  const crash = () => {
    const lost = [...waiting, ...running.map(({ job }) => job)];
    waiting.clear();
    waitingTokens = 0;
    running = [];
    usedTokens = 0;
    isUp = false;
    isStepping = false;
    life += 1;
    cache.clear();
    lost.forEach((job) => job.onCrashed());
  };

  const begin = (job: ServerJob): void => {
    const { prefixKey, prefixTokens = 0, promptTokens } = job.work;
    const isHit = prefixKey !== undefined && cache.use(prefixKey);
    const cachedTokens = isHit ? Math.min(prefixTokens, promptTokens - 1) : 0;
    if (prefixKey !== undefined && !isHit && cacheListener.wasComputedBefore(prefixKey)) {
      counts.recomputedPrefixTokens += prefixTokens;
    }
    const tokens = tokensOf(job);
    usedTokens += tokens;
    running.push({
      job,
      tokens,
      cachedTokens,
      prefillLeft: promptTokens - cachedTokens,
      generated: 0,
    });
  };

  const nextWaiting = (): ServerJob | undefined => {
    if (spec.honoursPriority) {
      for (const job of waiting) if (job.priority === 'interactive') return job;
    }
    const [first] = waiting;
    return first;
  };

  const leaveQueue = (job: ServerJob) => {
    if (waiting.delete(job)) waitingTokens -= tokensOf(job);
  };

  /** Returns false when a job crashed the engine. */
  const fillBatch = (): boolean => {
    while (running.length < spec.maxSequences) {
      const job = nextWaiting();
      if (job === undefined) return true;
      if (running.length > 0 && usedTokens + tokensOf(job) > spec.kvTokens) return true;
      leaveQueue(job);
      begin(job);
      if (job.work.crashesServer === true) {
        job.onCrashingServer();
        crash();
        return false;
      }
    }
    return true;
  };

  const remove = (sequence: Sequence) => {
    usedTokens -= sequence.tokens;
    running.splice(running.indexOf(sequence), 1);
  };

  const storePrefix = ({ job }: Sequence) => {
    const { prefixKey, prefixTokens = 0 } = job.work;
    if (prefixKey === undefined || cache.use(prefixKey)) return;
    cache.store(prefixKey, prefixTokens).forEach((key) => cacheListener.evicted(key));
    cacheListener.stored(prefixKey, prefixTokens);
  };

  const decodeAll = (decoding: readonly Sequence[]) => {
    for (const sequence of decoding) {
      if (!running.includes(sequence)) continue;
      sequence.generated += 1;
      if (sequence.generated === 1) sequence.job.onFirstToken();
      if (sequence.generated < sequence.job.work.outputTokens) continue;
      remove(sequence);
      sequence.job.onAnswered({
        promptTokens: sequence.job.work.promptTokens,
        cachedPromptTokens: sequence.cachedTokens,
        outputTokens: sequence.generated,
      });
    }
  };

  const step = () => {
    if (isStepping || !isUp || !fillBatch() || running.length === 0) return;
    isStepping = true;
    const decoding = running.filter(({ prefillLeft }) => prefillLeft === 0);
    const chunks: [Sequence, number][] = [];
    let budget = spec.prefillChunkTokens;
    for (const sequence of running) {
      const chunk = Math.min(budget, sequence.prefillLeft);
      if (chunk > 0) chunks.push([sequence, chunk]);
      budget -= chunk;
    }
    const chunkTokens = spec.prefillChunkTokens - budget;
    const durationMs =
      slowFactor *
      (spec.stepBaseMs +
        spec.stepPerSequenceMs * decoding.length +
        spec.prefillMsPerToken * chunkTokens);
    counts.busyMs += durationMs;
    counts.prefillTokens += chunkTokens;
    const stepLife = life;
    queue.after(durationMs, () => {
      if (stepLife !== life) return;
      isStepping = false;
      for (const [sequence, chunk] of chunks) {
        sequence.prefillLeft -= chunk;
        if (sequence.prefillLeft === 0) storePrefix(sequence);
      }
      decodeAll(decoding);
      step();
    });
  };

  return {
    get isUp() {
      return isUp;
    },
    counts,
    submit(job) {
      waiting.add(job);
      waitingTokens += tokensOf(job);
      step();
    },
    cancel(job) {
      leaveQueue(job);
      const sequence = running.find((other) => other.job === job);
      if (sequence !== undefined) remove(sequence);
    },
    setSlowFactor(factor) {
      slowFactor = factor;
    },
    crash,
    recover() {
      isUp = true;
      step();
    },
    load: () => ({
      runningRequests: running.length,
      waitingRequests: waiting.size,
      openTokens:
        waitingTokens +
        running.reduce(
          (sum, { job, prefillLeft, generated }) =>
            sum + prefillLeft + job.work.outputTokens - generated,
          0,
        ),
    }),
    hasRoom: () => isUp && waiting.size === 0 && running.length < spec.maxSequences * ROOMY_SHARE,
  };
}
