import { request } from 'undici';
import { createBoundedAgent } from '../answers/bounded-agent';
import type { ConfigurationService, ServiceValue } from '../configuration-sync';
import { ERRORS, gatewayError } from '../errors';

/** Where the configuration is published. */
export interface ConfigurationPlace {
  /** Base URL of a key-value service that speaks the Consul KV HTTP API. */
  readonly url: string;
  /** Key of the root; documents stand below it, under `KEY/documents/HASH`. */
  readonly key: string;
}

/** How long the service may hold a watch that has nothing new to tell. */
const WATCH_WAIT_S = 30;
/** Time beyond that after which the watch counts as lost. */
const WATCH_GRACE_MS = 5_000;
const READ_TIMEOUT_MS = 3_000;
/** Maximum size of a document, bytes. */
const MAX_ANSWER_BYTES = 67_108_864;

interface Read {
  readonly query: string;
  readonly timeoutMs: number;
}

/** Reads of the platform's configuration service. */
export function createConfigurationService({ url, key }: ConfigurationPlace): ConfigurationService {
  const dispatcher = createBoundedAgent(MAX_ANSWER_BYTES);

  const read = async (
    path: string,
    { query, timeoutMs }: Read,
    signal: AbortSignal,
  ): Promise<ServiceValue> => {
    const response = await request(`${url}/v1/kv/${path}?raw${query}`, {
      dispatcher,
      signal,
      headersTimeout: timeoutMs,
      bodyTimeout: READ_TIMEOUT_MS,
    });
    const rootText = await response.body.text();
    if (response.statusCode !== 200) {
      const reason = `status ${response.statusCode}`;
      const place = { step: 'read-configuration', peer: url };
      throw gatewayError(ERRORS.platformUnavailable, ['Configuration', reason], place);
    }
    return { index: String(response.headers['x-consul-index'] ?? '0'), rootText };
  };

  const atOnce = { query: '', timeoutMs: READ_TIMEOUT_MS };
  return {
    watch: (index, signal) =>
      read(
        key,
        {
          query: `&index=${encodeURIComponent(index)}&wait=${WATCH_WAIT_S}s`,
          timeoutMs: WATCH_WAIT_S * 1000 + WATCH_GRACE_MS,
        },
        signal,
      ),
    readRoot: (signal) => read(key, atOnce, signal),
    async readDocument(hash, signal) {
      const { rootText } = await read(`${key}/documents/${hash}`, atOnce, signal);
      return rootText;
    },
  };
}
