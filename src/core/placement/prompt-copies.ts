import type { PrefixCacheView } from './prefix-cache-view';
import type { ModelDemand } from './types';

/** What a server has of a prompt, and where it can get more. */
export interface PromptSupply {
  /** Prompt tokens that it does not hold, as estimated. */
  readonly uncachedTokens: number;
  /** Tokens of those that it can copy from a neighbour. */
  readonly copyableTokens: number;
  /** The neighbour to copy from; undefined where that is not worth while. */
  readonly copyFrom: string | undefined;
}

/** Supplies of one request at each of several servers. */
export type PromptSupplies = (incarnationId: string) => PromptSupply;

/**
 * Fewest tokens that are copied. Setting a copy up takes about as long as reading two hundred tokens, and a guess that
 * the neighbour holds them may be wrong.
 */
const FEWEST_COPIED = 256;
/**
 * Part of the shared parts that the server which all instances prefer for them probably holds, where none is known to
 * hold any: right after a start, or when they were read long ago.
 */
const PROBABLY_HELD = 0.7;

/** Shared tokens of a request: all parts but the last, which is its own. */
function sharedTokens({ parts }: ModelDemand): number {
  return parts.slice(0, -1).reduce((sum, { tokens }) => sum + tokens, 0);
}

/**
 * Judges which of the servers hold how much of a prompt.
 *
 * Answers long prompts whose first parts many requests share, in a peak: the server that holds them is busy, and another
 * one would read them again, which delays every stream there for as long as it takes. A copy between two caches costs an
 * eighth of reading. One notices without it tokens of shared parts that are read on each server of a region in turn.
 */
export function supplyPrompts(
  view: PrefixCacheView,
  incarnationIds: readonly string[],
  demand: ModelDemand,
  mayCopy: boolean,
): PromptSupplies {
  const held = new Map(incarnationIds.map((id) => [id, view.cachedTokens(id, demand)]));
  const isUnknown = [...held.values()].every((tokens) => tokens === 0);
  const preferred = isUnknown ? view.preferred(incarnationIds, demand) : undefined;
  if (preferred !== undefined) held.set(preferred, sharedTokens(demand) * PROBABLY_HELD);
  const holders = [...held].sort(([, left], [, right]) => right - left);

  return (incarnationId) => {
    const cached = held.get(incarnationId) ?? 0;
    const uncachedTokens = Math.max(0, demand.promptTokens - cached);
    const [source, most] = holders.find(([id]) => id !== incarnationId) ?? [undefined, 0];
    const copyableTokens = Math.min(uncachedTokens, most - cached);
    if (!mayCopy || source === undefined || copyableTokens < FEWEST_COPIED) {
      return { uncachedTokens, copyableTokens: 0, copyFrom: undefined };
    }
    return { uncachedTokens, copyableTokens, copyFrom: source };
  };
}
