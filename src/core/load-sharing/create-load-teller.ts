import { writeStatement } from './statement-message';
import type { ReadParts, ServerShare } from './types';

/** Tells the other instances of the region what this one has under way. */
export interface LoadTeller {
  /** Notes that a server has read parts of a prompt for a request from here. */
  noteRead(incarnationId: string, partIds: readonly string[]): void;
  /** Tells the others, if it is time and there is something to tell. */
  tell(nowMs: number): void;
}

/** What telling needs. */
export interface LoadTellerOptions {
  readonly selfId: string;
  /** What this instance has under way now. */
  readonly servers: () => readonly ServerShare[];
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
 * instance (some 0.3 ms of processor time for each) does not grow with the region.
 */
const TOLD_PER_REST = 4;
/** Rest between two statements without work, ms: the others have to know that it is heard, and that it has none. */
const LIFE_SIGN_MS = 900;
/** Parts that are told of one server at once; those that were read first matter least and are left out. */
const MOST_PARTS = 200;

/** A teller that has told nobody yet. */
export function createLoadTeller(options: LoadTellerOptions): LoadTeller {
  const unread = new Map<string, Set<string>>();
  let dueAtMs = 0;
  let hadSomething = false;
  let lifeSignAtMs = 0;

  const takeRead = (): readonly ReadParts[] => {
    const read = [...unread].map(([incarnationId, partIds]) => ({
      incarnationId,
      partIds: [...partIds].slice(-MOST_PARTS),
    }));
    unread.clear();
    return read;
  };

  return {
    noteRead(incarnationId, partIds) {
      const parts = unread.get(incarnationId) ?? new Set<string>();
      unread.set(incarnationId, parts);
      for (const partId of partIds) parts.add(partId);
    },
    tell(nowMs) {
      if (nowMs < dueAtMs) return;
      const addresses = options.addresses();
      if (addresses.length === 0) {
        unread.clear();
        return;
      }
      const restMs = REST_MS * Math.max(1, addresses.length / TOLD_PER_REST);
      dueAtMs = nowMs + restMs;
      const servers = options.servers();
      const hasSomething = servers.length > 0 || unread.size > 0;
      // The first statement without work says that what was told before is over.
      if (!hasSomething && !hadSomething && nowMs < lifeSignAtMs) return;
      hadSomething = hasSomething;
      lifeSignAtMs = nowMs + LIFE_SIGN_MS;
      const text = writeStatement({ from: options.selfId, servers, read: takeRead() });
      for (const address of addresses) options.send(address, text);
    },
  };
}
