import type { CallClient } from '../calls';
import type { Clock } from '../clock';
import { errorText } from '../errors';
import type { Logger } from '../events';
import { parseSnapshot, STATE_SYNC_EVENTS } from '../state-sync';
import type { PublishedState } from '../state-sync';

/** Path on the listener for other instances that returns the published state. */
export const STATE_PATH = '/state';

/** Path on the same listener that replies immediately, whatever state the instance is in. */
export const PING_PATH = '/here';

/** Timeout for the reply of an instance, which may be in another region, ms. */
const REPLY_TIMEOUT_MS = 1_000;
const OK = 200;

/** Dependencies of {@link fetchPeerState}. */
export interface FetchPeerStateDependencies {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly caller: CallClient;
}

/** Fetches the published state that the instance at `address` holds; undefined if it has none or does not reply. */
export async function fetchPeerState(
  { clock, logger, caller }: FetchPeerStateDependencies,
  address: string,
  signal: AbortSignal,
): Promise<PublishedState | undefined> {
  const answerByMs = clock.monotonicMs() + REPLY_TIMEOUT_MS;
  try {
    const { status, text } = await caller.call(
      address,
      { method: 'GET', path: STATE_PATH, answerByMs },
      signal,
    );
    return status === OK ? parseSnapshot(text) : undefined;
  } catch (error) {
    logger.event(STATE_SYNC_EVENTS.peerUnavailable, { peer: address, reason: errorText(error) });
    return undefined;
  }
}
