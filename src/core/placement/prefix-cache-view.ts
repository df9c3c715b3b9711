import { rankFor } from '../rendezvous';
import type { ModelDemand } from './types';

/** What the servers' prompt caches probably hold, by what was sent to them from here. */
export interface PrefixCacheView {
  /** Prompt tokens of the request that a server probably holds, from the first one on. */
  cachedTokens(incarnationId: string, demand: ModelDemand): number;
  /** Notes that a server has read the request's prompt. */
  noteRead(incarnationId: string, demand: ModelDemand): void;
  /** Notes that a server has read these parts of a prompt. */
  noteParts(incarnationId: string, partIds: readonly string[]): void;
  /** Forgets servers that have gone. */
  keepOnly(incarnationIds: ReadonlySet<string>): void;
  /** Which of the servers all instances prefer for the request's shared parts. */
  preferred(incarnationIds: readonly string[], demand: ModelDemand): string | undefined;
}

/** Parts remembered for one server; more than a cache of some hundred thousand tokens holds. */
const MOST_PARTS = 400;

/**
 * A view that knows nothing.
 *
 * Other instances send to the same servers, and this one does not see what. All of them rank the servers of a
 * region for a shared part by the same hash, so the server that ranks first is likely to have read it already.
 */
export function createPrefixCacheView(): PrefixCacheView {
  const partsAt = new Map<string, Map<string, true>>();

  const sharedKey = ({ parts }: ModelDemand): string | undefined => {
    const shared = parts.slice(0, -1);
    return shared.length === 0 ? undefined : shared.map((part) => part.partId).join(',');
  };

  const noteParts = (incarnationId: string, partIds: readonly string[]): void => {
    const held = partsAt.get(incarnationId) ?? new Map<string, true>();
    partsAt.set(incarnationId, held);
    for (const partId of partIds) {
      held.delete(partId);
      held.set(partId, true);
    }
    for (const oldest of held.keys()) {
      if (held.size <= MOST_PARTS) break;
      held.delete(oldest);
    }
  };

  return {
    noteParts,
    cachedTokens(incarnationId, demand) {
      const held = partsAt.get(incarnationId);
      let cached = 0;
      for (const { partId, tokens } of demand.parts) {
        if (held?.has(partId) !== true) break;
        cached += tokens;
      }
      return Math.min(demand.promptTokens, cached);
    },
    noteRead(incarnationId, { parts }) {
      noteParts(
        incarnationId,
        parts.map(({ partId }) => partId),
      );
    },
    keepOnly(incarnationIds) {
      for (const incarnationId of partsAt.keys()) {
        if (!incarnationIds.has(incarnationId)) partsAt.delete(incarnationId);
      }
    },
    preferred(incarnationIds, demand) {
      const key = sharedKey(demand);
      return key === undefined ? undefined : rankFor(key, incarnationIds)[0];
    },
  };
}
