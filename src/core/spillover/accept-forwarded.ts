import type { SpilloverOptions } from '../configuration';
import type { HomeOutlook } from './types';

/**
 * Returns whether this region accepts a request that another region forwarded.
 *
 * Protects the region next to one that lost capacity. If forwarded requests joined its queues, its own callers
 * would wait because of a failure elsewhere, and the region would become overloaded in turn. So forwarded
 * requests never wait here: they are accepted if they can start at once and enough capacity remains for a
 * burst of the region's own requests. Otherwise they are refused at once as not run, so that they can still be
 * served at home or elsewhere.
 */
export function mayAcceptForwarded(
  { canServe, wouldRefuse, expectedWaitMs, utilisation }: HomeOutlook,
  options: SpilloverOptions,
): boolean {
  if (!canServe || wouldRefuse || expectedWaitMs > 0) return false;
  return utilisation < options.foreignUtilisation;
}
