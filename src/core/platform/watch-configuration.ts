import { request } from 'undici';
import { sleepUntil } from '../clock';
import type { Clock } from '../clock';
import type { ConfigurationStore } from '../configuration';
import { ERRORS, errorText, gatewayError } from '../errors';
import type { Logger } from '../events';
import { PLATFORM_EVENTS } from './events';

/** What the watch needs. */
export interface ConfigurationWatchOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly store: ConfigurationStore;
  /** Base URL of a key-value service that speaks the Consul KV HTTP API. */
  readonly url: string;
  readonly key: string;
}

/** How long the service may hold a watch that has nothing new to tell. */
const WATCH_WAIT_S = 30;
/** Time beyond that after which the watch counts as lost. */
const WATCH_GRACE_MS = 5_000;
const RETRY_AFTER_FAILURE_MS = 1_000;

interface WatchAnswer {
  readonly index: string;
  readonly text: string;
}

async function watchOnce(
  { url, key }: ConfigurationWatchOptions,
  index: string,
  signal: AbortSignal,
): Promise<WatchAnswer> {
  const response = await request(
    `${url}/v1/kv/${key}?raw&index=${encodeURIComponent(index)}&wait=${WATCH_WAIT_S}s`,
    { signal, headersTimeout: WATCH_WAIT_S * 1000 + WATCH_GRACE_MS },
  );
  const text = await response.body.text();
  if (response.statusCode !== 200) {
    const reason = `status ${response.statusCode}`;
    throw gatewayError(ERRORS.platformUnavailable, ['Configuration', reason], {
      step: 'watch-configuration',
      peer: url,
    });
  }
  return { index: String(response.headers['x-consul-index'] ?? '0'), text };
}

/** Watches the configuration until disposed of; a failing service is asked again after a while. */
export function watchConfiguration(options: ConfigurationWatchOptions): AsyncDisposable {
  const { clock, logger, store, url } = options;
  const stopping = new AbortController();

  const run = async (): Promise<void> => {
    let index = '0';
    while (!stopping.signal.aborted) {
      try {
        const answer = await watchOnce(options, index, stopping.signal);
        index = answer.index;
        store.offer(answer.text, 'platform');
      } catch (error) {
        if (stopping.signal.aborted) return;
        logger.event(PLATFORM_EVENTS.configurationUnavailable, {
          peer: url,
          reason: errorText(error),
        });
        const retryAtMs = clock.monotonicMs() + RETRY_AFTER_FAILURE_MS;
        await sleepUntil(clock, retryAtMs, stopping.signal);
      }
    }
  };

  const task = run();
  return {
    async [Symbol.asyncDispose]() {
      stopping.abort();
      await task;
    },
  };
}
