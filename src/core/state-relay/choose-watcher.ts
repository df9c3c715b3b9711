import { rankFor } from '../rendezvous';
import type { RelayInstance } from './types';

/**
 * Which instance watches the source for the others of its failure domain.
 *
 * With every instance watching, each change wakes the whole fleet, and the source is called as often as instances times
 * changes: hundreds of times a second for a few hundred instances. One of each failure domain watches, by an order
 * that all work out alike from their views; the others follow it. Domains fail by themselves, so each has its own, and
 * an instance that finds nobody before it in the order watches for itself.
 */

/** What the choice looks at. */
export interface WatcherChoice {
  readonly self: Pick<RelayInstance, 'instanceId' | 'failureDomain'>;
  /** Other instances that are held to be alive. */
  readonly others: readonly RelayInstance[];
  /** Whether an instance failed to answer as a watcher lately. */
  readonly isDoubted: (instanceId: string) => boolean;
}

/** Whom to follow; undefined where it is this instance's turn to watch the source. */
export function chooseWatcher({
  self,
  others,
  isDoubted,
}: WatcherChoice): RelayInstance | undefined {
  const domain = others.filter(({ failureDomain }) => failureDomain === self.failureDomain);
  const order = rankFor(self.failureDomain, [
    self.instanceId,
    ...domain.map(({ instanceId }) => instanceId),
  ]);
  const first = order.find((id) => id === self.instanceId || !isDoubted(id));
  return domain.find(({ instanceId }) => instanceId === first);
}
