import type { IncomingMessage, ServerResponse } from 'node:http';
import { openStandIn, sendJson } from './listen';
import type { StandIn } from './listen';

/** One server as the stand-in catalogue lists it. */
export interface ListedServer {
  readonly id: string;
  /** ip:port, IPv4 */
  readonly address: string;
  readonly state: 'passing' | 'failing' | 'leaving';
}

/**
 * The platform's lagging list of servers, as the Consul health HTTP API answers it. It says what the test makes
 * it say, right or wrong, and wakes its watches at each change.
 */
export interface ServerListStandIn extends StandIn {
  setServers(service: string, servers: readonly ListedServer[]): void;
  /** Watches that are held now. */
  heldCount(): number;
}

const PATH = /^\/v1\/health\/service\/([^/?]+)/;
/** How long a watch is held at most; short, since only tests use it. */
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

/** Opens the catalogue stand-in, empty. */
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
