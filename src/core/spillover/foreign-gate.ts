import type { SpilloverOptions } from '../configuration';
import type { HomeOutlook } from './types';

/**
 * Whether a region takes a request that another region forwarded.
 *
 * Answers the region next to one that lost capacity. Forwarded work that joined its queues would make its own
 * callers wait for a failure that is not theirs, and would overload it in turn. So forwarded work never waits
 * here: it is taken when it can begin at once and enough room stays for a burst of the region's own, and is
 * refused at once otherwise, as not run, so that it can still be served at home or elsewhere.
 */
export function mayTakeForeign(
  { canServe, wouldRefuse, expectedWaitMs, utilisation }: HomeOutlook,
  options: SpilloverOptions,
): boolean {
  if (!canServe || wouldRefuse || expectedWaitMs > 0) return false;
  return utilisation < options.foreignUtilisation;
}
