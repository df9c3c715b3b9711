import { rankCandidates } from '../rendezvous';
import type { ModelDemand } from './types';

/** Estimates what the prompt caches of servers hold, based on the prompts that were sent to them. */
export interface PrefixCacheView {
  /** Returns how many tokens from the start of the request's prompt the server has probably cached. */
  cachedTokens(incarnationId: string, demand: ModelDemand): number;
  /** Records that a server has processed the prompt of a request. */
  recordPrompt(incarnationId: string, demand: ModelDemand): void;
  /** Records that a server has processed these parts of a prompt. */
  recordParts(incarnationId: string, partIds: readonly string[]): void;
  /** Removes the data of all other servers. */
  keepOnly(incarnationIds: ReadonlySet<string>): void;
  /** Returns the server that all instances prefer for the request's shared parts; undefined if it shares none. */
  preferredServer(incarnationIds: readonly string[], demand: ModelDemand): string | undefined;
}

/** Maximum number of parts recorded per server: more than a cache of some hundred thousand tokens holds. */
const MAX_PARTS_PER_SERVER = 400;

/**
 * Creates an empty view.
 *
 * Other instances send prompts to the same servers, and this instance does not see which. All instances rank the
 * servers of a region for shared parts by the same hash, so the server that ranks first has probably cached them.
 */
export function createPrefixCacheView(): PrefixCacheView {
  const partsByServer = new Map<string, Map<string, true>>();

  const sharedPartsKey = ({ parts }: ModelDemand): string | undefined => {
    const shared = parts.slice(0, -1);
    return shared.length === 0 ? undefined : shared.map((part) => part.partId).join(',');
  };

  const recordParts = (incarnationId: string, partIds: readonly string[]): void => {
    const cachedParts = partsByServer.get(incarnationId) ?? new Map<string, true>();
    partsByServer.set(incarnationId, cachedParts);
    for (const partId of partIds) {
      cachedParts.delete(partId);
      cachedParts.set(partId, true);
    }
    for (const oldest of cachedParts.keys()) {
      if (cachedParts.size <= MAX_PARTS_PER_SERVER) break;
      cachedParts.delete(oldest);
    }
  };

  return {
    recordParts,
    cachedTokens(incarnationId, demand) {
      const cachedParts = partsByServer.get(incarnationId);
      let cached = 0;
      for (const { partId, tokens } of demand.parts) {
        if (cachedParts?.has(partId) !== true) break;
        cached += tokens;
      }
      return Math.min(demand.promptTokens, cached);
    },
    recordPrompt(incarnationId, { parts }) {
      recordParts(
        incarnationId,
        parts.map(({ partId }) => partId),
      );
    },
    keepOnly(incarnationIds) {
      for (const incarnationId of partsByServer.keys()) {
        if (!incarnationIds.has(incarnationId)) partsByServer.delete(incarnationId);
      }
    },
    preferredServer(incarnationIds, demand) {
      const key = sharedPartsKey(demand);
      return key === undefined ? undefined : rankCandidates(key, incarnationIds)[0];
    },
  };
}
