import { request } from 'undici';
import { sleepUntil } from '../clock';
import type { Clock } from '../clock';
import { ERRORS, errorText, gatewayError } from '../errors';
import type { Logger } from '../events';
import type { ServerHealth } from './create-server-health';
import { SERVER_HEALTH_EVENTS } from './events';
import { listStatuses, serverListSchema } from './read-server-list';
import type { ServerListEntry } from './read-server-list';

/** What the watch needs. */
export interface ServerListWatchOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly health: Pick<ServerHealth, 'servers' | 'noteList' | 'isOnDuty'>;
  /** Base URL of a catalogue that speaks the Consul health HTTP API. */
  readonly url: string;
}

/** How long the catalogue may hold a watch that has nothing new to tell. */
const WATCH_WAIT_S = 30;
const WATCH_GRACE_MS = 5_000;
const RETRY_AFTER_FAILURE_MS = 2_000;
/** How often it is looked whether services or duties have changed. */
const DUTY_INTERVAL_MS = 1_000;
const FORGET_AFTER_MS = 10_000;

interface ListAnswer {
  readonly index: string;
  readonly entries: readonly ServerListEntry[];
}

async function watchOnce(
  url: string,
  service: string,
  index: string,
  signal: AbortSignal,
): Promise<ListAnswer> {
  const response = await request(
    `${url}/v1/health/service/${service}?index=${encodeURIComponent(index)}&wait=${WATCH_WAIT_S}s`,
    { signal, headersTimeout: WATCH_WAIT_S * 1000 + WATCH_GRACE_MS },
  );
  if (response.statusCode !== 200) {
    await response.body.dump();
    const reason = `status ${response.statusCode}`;
    const place = { step: 'watch-server-list', peer: url };
    throw gatewayError(ERRORS.platformUnavailable, [`Server list of ${service}`, reason], place);
  }
  const entries = serverListSchema.parse(await response.body.json());
  return { index: String(response.headers['x-consul-index'] ?? '0'), entries };
}

/**
 * Watches the platform's lists of the region's services. Two instances of a region watch each list and tell the
 * others what it says of servers that leave: watches of all instances would count as reads of each of them.
 */
export function watchServerLists(options: ServerListWatchOptions): AsyncDisposable {
  const { clock, logger, health, url } = options;
  const stopping = new AbortController();
  const watches = new Map<string, { stop: AbortController; task: Promise<void> }>();

  const forgetAtMs = new Map<string, number>();

  const noteAnswer = (service: string, { entries }: ListAnswer) => {
    const servers = health.servers().filter((server) => server.service === service);
    for (const [serverId, status] of listStatuses(entries, servers)) {
      health.noteList(serverId, status);
    }
  };

  const watchService = async (service: string, signal: AbortSignal): Promise<void> => {
    let index = '0';
    while (!signal.aborted) {
      try {
        const answer = await watchOnce(url, service, index, signal);
        index = answer.index;
        noteAnswer(service, answer);
      } catch (error) {
        if (signal.aborted) return;
        const reason = errorText(error);
        logger.event(SERVER_HEALTH_EVENTS.listUnavailable, { peer: url, service, reason });
        await sleepUntil(clock, clock.monotonicMs() + RETRY_AFTER_FAILURE_MS, signal);
      }
    }
  };

  /**
   * What a list said is forgotten some time after the duty to watch it went to another instance. Forgetting at
   * once would give work to a leaving server again until that instance has read the list and told of it.
   */
  const forgetOldLists = () => {
    const nowMs = clock.monotonicMs();
    for (const [service, atMs] of forgetAtMs) {
      if (watches.has(service) || atMs > nowMs) continue;
      forgetAtMs.delete(service);
      for (const server of health.servers()) {
        if (server.service === service) health.noteList(server.serverId, 'unknown');
      }
    }
  };

  const adjustWatches = () => {
    const services = new Set(health.servers().map(({ service }) => service));
    for (const [service, { stop }] of watches) {
      if (services.has(service) && health.isOnDuty(`list/${service}`)) continue;
      stop.abort();
      watches.delete(service);
      forgetAtMs.set(service, clock.monotonicMs() + FORGET_AFTER_MS);
    }
    for (const service of services) {
      if (watches.has(service) || !health.isOnDuty(`list/${service}`)) continue;
      const stop = new AbortController();
      forgetAtMs.delete(service);
      watches.set(service, { stop, task: watchService(service, stop.signal) });
    }
  };

  const run = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      adjustWatches();
      forgetOldLists();
      await sleepUntil(clock, clock.monotonicMs() + DUTY_INTERVAL_MS, stopping.signal);
    }
  };

  const task = run();
  return {
    async [Symbol.asyncDispose]() {
      stopping.abort();
      await task;
      for (const { stop } of watches.values()) stop.abort();
      await Promise.all([...watches.values()].map((watch) => watch.task));
    },
  };
}
