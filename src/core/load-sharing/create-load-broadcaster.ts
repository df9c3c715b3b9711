import type { CachedPartsBuffer } from './create-cached-parts-buffer';
import { serializeLoadUpdate } from './load-update-message';
import type { InstanceServerLoad } from './types';

/** Broadcasts the open requests of this instance to the other instances of its region. */
export interface LoadBroadcaster {
  /** Sends an update if the interval has passed and there is something to report. */
  sendIfDue(nowMs: number): void;
}

/** Options of a load broadcaster. */
export interface LoadBroadcasterOptions {
  readonly selfId: string;
  /** Returns the current open requests of this instance, per server. */
  readonly servers: () => readonly InstanceServerLoad[];
  /** Prompt parts that have been cached since the last update. */
  readonly cachedParts: Pick<CachedPartsBuffer, 'isEmpty' | 'drain'>;
  /** Addresses of the other instances of the region. */
  readonly addresses: () => readonly string[];
  readonly send: (address: string, text: string) => void;
}

/**
 * Minimum interval between two updates to the same instances, ms. A server takes some hundred ms to compute a long
 * prompt, so that the other instances get the update before the prompt is done.
 */
const MIN_INTERVAL_MS = 100;
/**
 * Number of recipients up to which the minimum interval applies. With more recipients the interval grows, so that the
 * cost of updates per instance does not grow with the region.
 */
const RECIPIENTS_PER_MIN_INTERVAL = 4;
/**
 * Interval between two updates without content, ms: they distinguish an idle instance from one whose updates do not
 * arrive.
 */
const HEARTBEAT_INTERVAL_MS = 900;

/** Returns the interval between two updates of an instance, ms, by the number of their recipients. */
export function updateIntervalMs(recipients: number): number {
  return MIN_INTERVAL_MS * Math.max(1, recipients / RECIPIENTS_PER_MIN_INTERVAL);
}

/** Creates the load broadcaster of one instance. */
export function createLoadBroadcaster(options: LoadBroadcasterOptions): LoadBroadcaster {
  const { cachedParts } = options;
  let nextSendAtMs = 0;
  let nextHeartbeatAtMs = 0;
  let hadContent = false;

  return {
    sendIfDue(nowMs) {
      if (nowMs < nextSendAtMs) return;
      const addresses = options.addresses();
      if (addresses.length === 0) {
        // Discarded, since the entries would be outdated by the time another instance joins.
        cachedParts.drain();
        return;
      }
      nextSendAtMs = nowMs + updateIntervalMs(addresses.length);
      const servers = options.servers();
      const hasContent = servers.length > 0 || !cachedParts.isEmpty();
      // The first update without content reports that all requests have ended.
      if (!hasContent && !hadContent && nowMs < nextHeartbeatAtMs) return;
      hadContent = hasContent;
      nextHeartbeatAtMs = nowMs + HEARTBEAT_INTERVAL_MS;
      const text = serializeLoadUpdate({
        from: options.selfId,
        servers,
        cachedParts: cachedParts.drain(),
      });
      for (const address of addresses) options.send(address, text);
    },
  };
}
