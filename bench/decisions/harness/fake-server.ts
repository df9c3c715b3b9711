import type { WorkSize, Priority, Usage } from './types';

/** One attempt as a fake server runs it. */
export interface ServerJob {
  readonly work: WorkSize;
  readonly priority: Priority;
  readonly onFirstToken: () => void;
  readonly onAnswered: (usage: Usage) => void;
  readonly onCrashed: () => void;
  /** The job has begun and crashes the server; called before the crash. */
  readonly onCrashingServer: () => void;
}

/** What the results count at each server. */
export interface ServerCounts {
  busyMs: number;
  prefillTokens: number;
  /** Prefix tokens computed although some engine had computed the same prefix before. */
  recomputedPrefixTokens: number;
}

/** What a server would report now. */
export interface ServerLoad {
  readonly runningRequests: number;
  readonly waitingRequests: number;
  readonly openTokens: number;
}

/** A fake server of either kind. */
export interface FakeServer {
  readonly isUp: boolean;
  readonly counts: ServerCounts;
  submit(job: ServerJob): void;
  cancel(job: ServerJob): void;
  setSlowFactor(factor: number): void;
  crash(): void;
  recover(): void;
  load(): ServerLoad;
  /** Whether it could begin more work at once; tells whether a refusal was avoidable. */
  hasRoom(): boolean;
}

/** What servers tell the run about their caches. */
export interface CacheListener {
  stored(prefixKey: string, tokens: number): void;
  evicted(prefixKey: string): void;
  /** Notes that a prefix is computed; true when some engine had computed it before. */
  wasComputedBefore(prefixKey: string): boolean;
}
