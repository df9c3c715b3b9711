import { rankCandidates } from '../rendezvous';
import type { RelayInstance } from './types';

/**
 * Chooses the instance that watches the source for all instances of its failure domain.
 *
 * If every instance watched, each change would wake the whole fleet, and the source would be called as often as
 * instances times changes: hundreds of times per second for a few hundred instances. Instead, one instance per failure
 * domain watches, by a ranking that all compute alike from their membership views, and the others follow it. Domains
 * fail independently, so each has its own watcher. An instance with no usable instance ranked before it watches the
 * source.
 */

/** Input of the choice of a watcher. */
export interface WatcherChoiceInput {
  readonly self: Pick<RelayInstance, 'instanceId' | 'failureDomain'>;
  /** Other instances that are considered alive. */
  readonly others: readonly RelayInstance[];
  /** Whether an instance recently failed to answer as a watcher. */
  readonly isBackedOff: (instanceId: string) => boolean;
}

/** Returns the instance to follow; undefined if this instance has to watch the source itself. */
export function chooseWatcher({
  self,
  others,
  isBackedOff,
}: WatcherChoiceInput): RelayInstance | undefined {
  const sameDomain = others.filter(({ failureDomain }) => failureDomain === self.failureDomain);
  const ranking = rankCandidates(self.failureDomain, [
    self.instanceId,
    ...sameDomain.map(({ instanceId }) => instanceId),
  ]);
  const watcherId = ranking.find((id) => id === self.instanceId || !isBackedOff(id));
  return sameDomain.find(({ instanceId }) => instanceId === watcherId);
}
