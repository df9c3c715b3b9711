import type { ReadNotes } from './create-read-notes';
import { writeStatement } from './statement-message';
import type { ServerShare } from './types';

/** Tells the other instances of the region what this one has under way. */
export interface LoadTeller {
  /** Tells the others, if it is time and there is something to tell. */
  tell(nowMs: number): void;
}

/** What telling needs. */
export interface LoadTellerOptions {
  readonly selfId: string;
  /** What this instance has under way now. */
  readonly servers: () => readonly ServerShare[];
  readonly read: Pick<ReadNotes, 'isEmpty' | 'take'>;
  /** Addresses of the other instances of the region. */
  readonly addresses: () => readonly string[];
  readonly send: (address: string, text: string) => void;
}

/**
 * Rest between two statements to the same few instances, ms: a long prompt takes a server some hundred ms to read, so
 * that others learn of it before it is read.
 */
const REST_MS = 100;
/**
 * Instances that may be told after each such rest. With more of them the rest grows, so that what telling costs an
 * instance does not grow with the region.
 */
const TOLD_PER_REST = 4;
/** Rest between two statements without work, ms: the others have to know that it is heard, and that it has none. */
const LIFE_SIGN_MS = 900;

/** A teller that has told nobody yet. */
export function createLoadTeller(options: LoadTellerOptions): LoadTeller {
  const { read } = options;
  let dueAtMs = 0;
  let lifeSignAtMs = 0;
  let hadSomething = false;

  return {
    tell(nowMs) {
      if (nowMs < dueAtMs) return;
      const addresses = options.addresses();
      if (addresses.length === 0) {
        // Kept for whoever comes, the notes would only grow old.
        read.take();
        return;
      }
      dueAtMs = nowMs + REST_MS * Math.max(1, addresses.length / TOLD_PER_REST);
      const servers = options.servers();
      const hasSomething = servers.length > 0 || !read.isEmpty();
      // The first statement without work says that what was told before is over.
      if (!hasSomething && !hadSomething && nowMs < lifeSignAtMs) return;
      hadSomething = hasSomething;
      lifeSignAtMs = nowMs + LIFE_SIGN_MS;
      const text = writeStatement({ from: options.selfId, servers, read: read.take() });
      for (const address of addresses) options.send(address, text);
    },
  };
}
