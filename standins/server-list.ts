import type { IncomingMessage, ServerResponse } from 'node:http';
import { openStandIn, sendJson } from './listen';
import type { StandIn } from './listen';

/** A server in the stand-in catalogue. */
export interface ListedServer {
  readonly id: string;
  /** `IP:PORT`, IPv4 */
  readonly address: string;
  readonly state: 'passing' | 'failing' | 'leaving';
}

/**
 * A stand-in for the platform's list of servers with the interface of the Consul health HTTP API. A test sets its contents,
 * correct or not; watches are answered at each change.
 */
export interface ServerListStandIn extends StandIn {
  setServers(service: string, servers: readonly ListedServer[]): void;
  /** Number of watches that wait. */
  heldCount(): number;
}

const PATH = /^\/v1\/health\/service\/([^/?]+)/;
/** Maximum time for which a watch waits; short, since only tests use it. */
const HOLD_MS = 5_000;

function toEntry({ id, address, state }: ListedServer, createIndex: number) {
  const [host, port] = address.split(':');
  return {
    Node: { Address: host },
    Service: {
      ID: id,
      Address: host,
      Port: Number(port),
      Meta: state === 'leaving' ? { leaving: 'true' } : {},
      CreateIndex: createIndex,
    },
    Checks: [{ CheckID: `service:${id}`, Status: state === 'failing' ? 'critical' : 'passing' }],
  };
}

/** Opens an empty catalogue stand-in. */
export async function openServerListStandIn(port = 0): Promise<ServerListStandIn> {
  const lists = new Map<string, readonly ListedServer[]>();
  const watchers = new Set<() => void>();
  let index = 1;

  const waitForChange = (response: ServerResponse): Promise<void> =>
    new Promise((resolve) => {
      const go = () => {
        // eslint-disable-next-line @typescript-eslint/no-use-before-define -- assigned before any call
        clearTimeout(timer);
        watchers.delete(go);
        resolve();
      };
      const timer = setTimeout(go, HOLD_MS);
      timer.unref();
      watchers.add(go);
      response.once('close', go);
    });

  const handler = async (incoming: IncomingMessage, response: ServerResponse): Promise<void> => {
    const url = new URL(incoming.url ?? '/', 'http://catalogue');
    const service = PATH.exec(url.pathname)?.[1];
    if (service === undefined) {
      sendJson(response, 404, {});
      return;
    }
    if (url.searchParams.get('index') === String(index)) await waitForChange(response);
    response.setHeader('x-consul-index', String(index));
    sendJson(response, 200, (lists.get(service) ?? []).map(toEntry));
  };

  const standIn = await openStandIn(handler, port);
  return {
    ...standIn,
    setServers(service, servers) {
      index += 1;
      lists.set(service, servers);
      [...watchers].forEach((watcher) => watcher());
    },
    heldCount: () => watchers.size,
  };
}
