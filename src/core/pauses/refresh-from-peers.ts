import { sleepUntil } from '../clock';
import type { Clock } from '../clock';
import type { ConfigurationStore } from '../configuration';
import type { Membership } from '../membership';
import type { Refresh } from './create-pause-guard';

/** What refreshing from peers needs. */
export interface PeerRefreshOptions {
  readonly clock: Clock;
  readonly membership: Pick<Membership, 'exchangeNow' | 'onContact' | 'usablePeers'>;
  readonly configuration: Pick<ConfigurationStore, 'current'>;
}

const LOOK_EVERY_MS = 20;

/**
 * Time for what peers sent during the pause, and what has waited in the sockets since, to be read. An exchange
 * that began before this can't be told from one that shows the fleet as it is now.
 */
const SETTLE_MS = 100;

/**
 * Exchanges with peers at once and waits for the first that answers, which shows the fleet as it is now; then
 * waits until the configuration in force here is no older than that peer's. An instance that knows no peer has
 * nobody who could have decided anything without it.
 */
export function createPeerRefresh(options: PeerRefreshOptions): Refresh {
  const { clock, membership, configuration } = options;

  return async (signal) => {
    if (membership.usablePeers().length === 0) return true;
    await sleepUntil(clock, clock.monotonicMs() + SETTLE_MS, signal);
    let heardVersion: number | undefined;
    const listening = membership.onContact(({ configurationVersion }) => {
      heardVersion ??= configurationVersion;
    });
    membership.exchangeNow(() => true);
    const isFresh = () =>
      heardVersion !== undefined && (configuration.current()?.version ?? 0) >= heardVersion;
    while (!isFresh() && !signal.aborted) {
      await sleepUntil(clock, clock.monotonicMs() + LOOK_EVERY_MS, signal);
    }
    listening[Symbol.dispose]();
    return isFresh();
  };
}
