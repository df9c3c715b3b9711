import type { PrefixCacheView } from './prefix-cache-view';
import type { ModelDemand } from './types';

/** Tokens of a prompt that a server lacks in its cache, and the neighbour to copy them from. */
export interface PrefillPlan {
  /** Estimated prompt tokens that are not in the server's cache. */
  readonly uncachedTokens: number;
  /** Uncached tokens that the server can copy from a neighbour. */
  readonly copyableTokens: number;
  /** Server to copy from; undefined if copying would not save time. */
  readonly copyFrom: string | undefined;
}

/** Returns which tokens of one request a server would have to compute or could copy. */
export type PrefillPlanner = (incarnationId: string) => PrefillPlan;

/**
 * Minimum number of tokens to copy: setting up a copy takes as long as computing about 200 tokens, and the estimate
 * that the neighbour has cached them may be wrong.
 */
const MIN_COPIED_TOKENS = 256;
/**
 * Assumed share of a request's shared tokens that the preferred server has cached, if no server is known to have cached
 * any: right after a start, or if they were processed long ago.
 */
const ASSUMED_SHARE = 0.7;

/** Returns the shared tokens of a request: those of all parts but the last, which is specific to the request. */
function sharedTokens({ parts }: ModelDemand): number {
  return parts.slice(0, -1).reduce((sum, { tokens }) => sum + tokens, 0);
}

/**
 * Returns a function that estimates how much of a prompt each server has cached, and from where it can copy the rest.
 *
 * During a peak, the server that has cached the first parts of a long prompt, shared by many requests, is busy. Another
 * server would have to compute them again, which delays all its streams meanwhile; the same shared parts would be
 * computed on each server of a region in turn. Copying from another cache costs an eighth of computing. `mayCopy` tells
 * whether the second server may copy from the first.
 */
export function createPrefillPlanner(
  view: PrefixCacheView,
  incarnationIds: readonly string[],
  demand: ModelDemand,
  mayCopy: (sourceId: string, targetId: string) => boolean,
): PrefillPlanner {
  const cachedByServer = new Map(incarnationIds.map((id) => [id, view.cachedTokens(id, demand)]));
  const isCacheUnknown = [...cachedByServer.values()].every((tokens) => tokens === 0);
  const preferred = isCacheUnknown ? view.preferredServer(incarnationIds, demand) : undefined;
  if (preferred !== undefined) cachedByServer.set(preferred, sharedTokens(demand) * ASSUMED_SHARE);
  const ranked = [...cachedByServer].sort(([, left], [, right]) => right - left);

  return (incarnationId) => {
    const cached = cachedByServer.get(incarnationId) ?? 0;
    const uncachedTokens = Math.max(0, demand.promptTokens - cached);
    const [source, sourceTokens] = ranked.find(
      ([id]) => id !== incarnationId && mayCopy(id, incarnationId),
    ) ?? [undefined, 0];
    const copyableTokens = Math.min(uncachedTokens, sourceTokens - cached);
    if (source === undefined || copyableTokens < MIN_COPIED_TOKENS) {
      return { uncachedTokens, copyableTokens: 0, copyFrom: undefined };
    }
    return { uncachedTokens, copyableTokens, copyFrom: source };
  };
}
