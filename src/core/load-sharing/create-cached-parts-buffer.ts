import type { CachedParts } from './types';

/** Buffers prompt parts that servers have cached for requests of this instance, until they are sent to the others. */
export interface CachedPartsBuffer {
  /** Adds parts that a server has cached. */
  add(incarnationId: string, partIds: readonly string[]): void;
  /** Whether there is nothing to send. */
  isEmpty(): boolean;
  /** Returns all parts added since the previous call, and removes them. */
  drain(): readonly CachedParts[];
}

/** Maximum number of parts per server in one update; the oldest, which matter least, are removed. */
const MAX_PARTS_PER_SERVER = 200;

/** Creates an empty buffer. */
export function createCachedPartsBuffer(): CachedPartsBuffer {
  const partsByServer = new Map<string, Set<string>>();
  return {
    add(incarnationId, partIds) {
      const parts = partsByServer.get(incarnationId) ?? new Set<string>();
      partsByServer.set(incarnationId, parts);
      for (const partId of partIds) {
        // A part that was used again becomes one of the newest.
        parts.delete(partId);
        parts.add(partId);
      }
      for (const oldest of parts) {
        if (parts.size <= MAX_PARTS_PER_SERVER) break;
        parts.delete(oldest);
      }
    },
    isEmpty: () => partsByServer.size === 0,
    drain() {
      const drained = [...partsByServer].map(([incarnationId, partIds]) => ({
        incarnationId,
        partIds: [...partIds],
      }));
      partsByServer.clear();
      return drained;
    },
  };
}
