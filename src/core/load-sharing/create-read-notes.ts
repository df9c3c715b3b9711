import type { ReadParts } from './types';

/** Parts of prompts that servers have read for requests from here, until the others are told. */
export interface ReadNotes {
  note(incarnationId: string, partIds: readonly string[]): void;
  /** Whether there is something to tell. */
  isEmpty(): boolean;
  /** All that was noted since the call before. */
  take(): readonly ReadParts[];
}

/** Parts that are told of one server at once; those that were read first matter least and are left out. */
const MOST_PARTS = 200;

/** Notes of nothing. */
export function createReadNotes(): ReadNotes {
  const read = new Map<string, Set<string>>();
  return {
    note(incarnationId, partIds) {
      const parts = read.get(incarnationId) ?? new Set<string>();
      read.set(incarnationId, parts);
      for (const partId of partIds) {
        // Read again, a part counts among the newest.
        parts.delete(partId);
        parts.add(partId);
      }
      for (const oldest of parts) {
        if (parts.size <= MOST_PARTS) break;
        parts.delete(oldest);
      }
    },
    isEmpty: () => read.size === 0,
    take() {
      const taken = [...read].map(([incarnationId, partIds]) => ({
        incarnationId,
        partIds: [...partIds],
      }));
      read.clear();
      return taken;
    },
  };
}
