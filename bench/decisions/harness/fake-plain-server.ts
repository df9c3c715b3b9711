import type { EventQueue } from './event-queue';
import type { FakeServer, ServerCounts, ServerJob } from './fake-server';
import type { PlainSpec } from './types';

const PLAIN_USAGE = { promptTokens: 0, cachedPromptTokens: 0, outputTokens: 0 };

/** A plain server: `workers` calls at a time, the rest wait in order of their coming. */
export function createFakePlainServer(spec: PlainSpec, queue: EventQueue): FakeServer {
  const counts: ServerCounts = { busyMs: 0, prefillTokens: 0, recomputedPrefixTokens: 0 };
  const waiting = new Set<ServerJob>();
  const running = new Set<ServerJob>();
  let slowFactor = 1;
  let isUp = true;

  const crash = () => {
    const lost = [...running, ...waiting];
    waiting.clear();
    running.clear();
    isUp = false;
    lost.forEach((job) => job.onCrashed());
  };

  const fill = () => {
    while (isUp && running.size < spec.workers) {
      const [job] = waiting;
      if (job === undefined) return;
      waiting.delete(job);
      if (job.work.crashesServer === true) {
        running.add(job);
        job.onCrashingServer();
        crash();
        return;
      }
      running.add(job);
      const durationMs = slowFactor * (job.work.plainWorkMs ?? 0);
      counts.busyMs += durationMs;
      queue.after(durationMs, () => {
        if (!running.delete(job)) return;
        job.onFirstToken();
        job.onAnswered(PLAIN_USAGE);
        fill();
      });
    }
  };

  return {
    get isUp() {
      return isUp;
    },
    counts,
    submit(job) {
      waiting.add(job);
      fill();
    },
    cancel(job) {
      waiting.delete(job);
      if (running.delete(job)) fill();
    },
    setSlowFactor(factor) {
      slowFactor = factor;
    },
    crash,
    recover() {
      isUp = true;
      fill();
    },
    load: () => ({
      runningRequests: running.size,
      waitingRequests: waiting.size,
      openTokens: 0,
    }),
    hasRoom: () => isUp && running.size < spec.workers,
  };
}
