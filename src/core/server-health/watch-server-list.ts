import { request } from 'undici';
import type { Dispatcher } from 'undici';
import { createBoundedAgent } from '../answers/bounded-agent';
import { sleepUntil } from '../clock';
import type { Clock } from '../clock';
import { ERRORS, errorText, gatewayError } from '../errors';
import type { Logger } from '../events';
import type { ServerHealth } from './create-server-health';
import { SERVER_HEALTH_EVENTS } from './events';
import { listStatuses, serverListSchema } from './read-server-list';
import type { ServerListEntry } from './read-server-list';

/** Options of `watchServerLists`. */
export interface ServerListWatchOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly health: Pick<ServerHealth, 'servers' | 'recordListStatus' | 'isOnDuty'>;
  /** Base URL of a catalogue with the Consul health HTTP API. */
  readonly url: string;
}

/** Time for which the catalogue may hold a watch request while the list does not change, s. */
const MAX_WATCH_WAIT_S = 30;
/** Time beyond `MAX_WATCH_WAIT_S` until a watch request without an answer fails, ms. */
const WATCH_TIMEOUT_MARGIN_MS = 5_000;
/** Delay after a failed watch request, ms. */
const RETRY_DELAY_MS = 2_000;
/** Interval between checks whether services or duties have changed, ms. */
const DUTY_CHECK_INTERVAL_MS = 1_000;
/** Time after the end of a watch at which the statuses from its list are reset, ms. */
const STATUS_RESET_DELAY_MS = 10_000;

/** Maximum size of a list, bytes: tens of thousands of servers. */
const MAX_ANSWER_BYTES = 67_108_864;

interface ListAnswer {
  readonly index: string;
  readonly entries: readonly ServerListEntry[];
}

/** Requests the list of a service, which the catalogue returns once its index differs from `index` or the wait ends. */
async function watchOnce(
  url: string,
  service: string,
  index: string,
  signal: AbortSignal,
  dispatcher: Dispatcher,
): Promise<ListAnswer> {
  const response = await request(
    `${url}/v1/health/service/${service}?index=${encodeURIComponent(index)}&wait=${MAX_WATCH_WAIT_S}s`,
    { dispatcher, signal, headersTimeout: MAX_WATCH_WAIT_S * 1000 + WATCH_TIMEOUT_MARGIN_MS },
  );
  if (response.statusCode !== 200) {
    await response.body.dump();
    const reason = `status ${response.statusCode}`;
    const context = { step: 'watch-server-list', peer: url };
    throw gatewayError(ERRORS.platformUnavailable, [`Server list of ${service}`, reason], context);
  }
  const entries = serverListSchema.parse(await response.body.json());
  return { index: String(response.headers['x-consul-index'] ?? '0'), entries };
}

/**
 * Watches the platform's lists of the region's services. Two instances of a region watch each list and report leaving
 * servers to the others. If all instances watched, the catalogue would have to serve the reads of each of them.
 */
export function watchServerLists(options: ServerListWatchOptions): AsyncDisposable {
  const { clock, logger, health, url } = options;
  const agent = createBoundedAgent(MAX_ANSWER_BYTES);
  const stopping = new AbortController();
  const watches = new Map<string, { stop: AbortController; task: Promise<void> }>();

  const statusResetAtMs = new Map<string, number>();

  const recordListAnswer = (service: string, { entries }: ListAnswer) => {
    const servers = health.servers().filter((server) => server.service === service);
    for (const [serverId, status] of listStatuses(entries, servers)) {
      health.recordListStatus(serverId, status);
    }
  };

  const watchService = async (service: string, signal: AbortSignal): Promise<void> => {
    let index = '0';
    while (!signal.aborted) {
      try {
        const answer = await watchOnce(url, service, index, signal, agent);
        index = answer.index;
        recordListAnswer(service, answer);
      } catch (error) {
        if (signal.aborted) return;
        const reason = errorText(error);
        logger.event(SERVER_HEALTH_EVENTS.listUnavailable, { peer: url, service, reason });
        await sleepUntil(clock, clock.monotonicMs() + RETRY_DELAY_MS, signal);
      }
    }
  };

  /**
   * Resets the statuses of a list some time after the duty to watch it went to another instance. Resetting them at
   * once would send work to a leaving server again until that instance has read the list and reported the server.
   */
  const resetUnwatchedLists = () => {
    const nowMs = clock.monotonicMs();
    for (const [service, atMs] of statusResetAtMs) {
      if (watches.has(service) || atMs > nowMs) continue;
      statusResetAtMs.delete(service);
      for (const server of health.servers()) {
        if (server.service === service) health.recordListStatus(server.serverId, 'unknown');
      }
    }
  };

  const adjustWatches = () => {
    const services = new Set(health.servers().map(({ service }) => service));
    for (const [service, { stop }] of watches) {
      if (services.has(service) && health.isOnDuty(`list/${service}`)) continue;
      stop.abort();
      watches.delete(service);
      statusResetAtMs.set(service, clock.monotonicMs() + STATUS_RESET_DELAY_MS);
    }
    for (const service of services) {
      if (watches.has(service) || !health.isOnDuty(`list/${service}`)) continue;
      const stop = new AbortController();
      statusResetAtMs.delete(service);
      watches.set(service, { stop, task: watchService(service, stop.signal) });
    }
  };

  const run = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      adjustWatches();
      resetUnwatchedLists();
      await sleepUntil(clock, clock.monotonicMs() + DUTY_CHECK_INTERVAL_MS, stopping.signal);
    }
  };

  const task = run();
  return {
    async [Symbol.asyncDispose]() {
      stopping.abort();
      await task;
      for (const { stop } of watches.values()) stop.abort();
      await Promise.all([...watches.values()].map((watch) => watch.task));
      await agent.destroy();
    },
  };
}
