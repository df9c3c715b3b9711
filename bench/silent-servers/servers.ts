import type { Socket } from 'node:net';
import type { DisposableStore } from '../../src/core/lifetime';
import { domainOf } from '../../platform/testing/process-settings';
import { EVENTS_PER_STREAM, eventText, plainBody } from '../../soak/promises';
import type { ServerRun } from '../../soak/types';
import {
  chunkOf,
  openAnnouncedServer,
  streamHead,
  wholeAnswer,
} from '../../standins/announced-server';
import type { ReceivedRequest, ServerScript } from '../../standins/announced-server';
import { serverEntry } from '../../standins/published-store';
import type { StoreStandIn } from '../../standins/published-store';
import { createServerSlots } from '../../standins/server-slots';
import { REQUEST_KINDS } from './requests';

/** Backend servers that may stand still: they accept connections and send nothing, and then go on where they were. */
export interface SilentServers {
  /** Requests that reached a server and were not rejected by it, in order of time. */
  readonly runs: readonly ServerRun[];
  standStill(serverIds: readonly string[]): void;
  goOn(serverIds: readonly string[]): void;
}

/** Options of `openSilentServers`. */
export interface SilentServersOptions {
  readonly serverIds: readonly string[];
  readonly slots: number;
  readonly store: StoreStandIn;
  readonly owned: DisposableStore;
  readonly service?: string;
  /** Returns the script of a server, made of that of a sound one. */
  readonly scriptOf?: (serverId: string, sound: ServerScript) => ServerScript;
}

/** Requests that wait at a server at most; it rejects more. */
const MAX_WAITING = 4;

/** Work of a server, which is held up while the server stands still. */
interface Standstill {
  /** Does something now, or when the server goes on. */
  whenAwake(action: () => void): void;
  begin(): void;
  end(): void;
}

function createStandstill(): Standstill {
  let held: (() => void)[] = [];
  let isStill = false;
  return {
    whenAwake(action) {
      if (isStill) held.push(action);
      else action();
    },
    begin() {
      isStill = true;
    },
    end() {
      isStill = false;
      const due = held;
      held = [];
      for (const action of due) action();
    },
  };
}

/** Returns the time that a request names in its path, ms. */
function workMsOf({ path }: ReceivedRequest): number {
  return Number(path.slice(path.lastIndexOf('/') + 1));
}

function isStream({ path }: ReceivedRequest): boolean {
  return REQUEST_KINDS.some(({ prefix, kind }) => kind === 'stream' && path.startsWith(prefix));
}

function createScript(
  serverId: string,
  slots: number,
  standstill: Standstill,
  runs: ServerRun[],
): ServerScript {
  const serverSlots = createServerSlots({ slots, maxWaiting: MAX_WAITING });
  const later = (waitMs: number, action: () => void): void => {
    setTimeout(() => standstill.whenAwake(action), waitMs).unref();
  };

  const answer = (request: ReceivedRequest, requestId: string, socket: Socket): void => {
    later(workMsOf(request), () => {
      serverSlots.release();
      if (socket.destroyed) return;
      socket.write(serverSlots.withLoad(wholeAnswer(request, plainBody(requestId))));
    });
  };

  const stream = (request: ReceivedRequest, requestId: string, socket: Socket): void => {
    const firstEventId = Number(request.headers.get('last-event-id') ?? 0) + 1;
    const sendEvent = (eventId: number): void => {
      // A stream that is taken up after its last event has nothing left but its head and its end.
      const head = eventId === firstEventId ? serverSlots.withLoad(streamHead(request)) : '';
      if (socket.destroyed || eventId > EVENTS_PER_STREAM) {
        serverSlots.release();
        if (!socket.destroyed) socket.write(head + chunkOf(''));
        return;
      }
      socket.write(head + chunkOf(eventText(requestId, eventId)));
      later(workMsOf(request), () => sendEvent(eventId + 1));
    };
    later(workMsOf(request), () => sendEvent(firstEventId));
  };

  const serve = (request: ReceivedRequest, run: ServerRun, socket: Socket): void => {
    const { requestId } = run;
    const isTaken = serverSlots.admit(() =>
      isStream(request) ? stream(request, requestId, socket) : answer(request, requestId, socket),
    );
    if (isTaken) return;
    runs.splice(runs.indexOf(run), 1);
    socket.write(serverSlots.rejectionOf(request));
  };

  return (request, socket) => {
    if (request.path === '/health') {
      standstill.whenAwake(() => socket.write(wholeAnswer(request, '')));
      return;
    }
    // What arrives while the server stands still runs when it goes on, also if its connection has been closed by then.
    const run = {
      requestId: request.headers.get('x-request-id') ?? '',
      serverId,
      server: serverId,
      atMs: Date.now(),
      account: request.headers.get('x-tenant-id'),
      sawKey: request.headers.has('x-api-key'),
    };
    runs.push(run);
    standstill.whenAwake(() => serve(request, run, socket));
  };
}

/** Starts servers, one in each failure domain in turn, and announces them. */
export async function openSilentServers(options: SilentServersOptions): Promise<SilentServers> {
  const { serverIds, slots, store, owned, service: Service = 'app' } = options;
  const { scriptOf = (_serverId, sound) => sound } = options;
  const runs: ServerRun[] = [];
  const standstills = new Map<string, Standstill>();
  for (const [index, serverId] of serverIds.entries()) {
    const standstill = createStandstill();
    standstills.set(serverId, standstill);
    const script = scriptOf(serverId, createScript(serverId, slots, standstill, runs));
    const { address } = owned.add(await openAnnouncedServer(script));
    const entry = serverEntry(address, { Service, Zone: domainOf(index), Slots: slots });
    store.put(`servers/${serverId}`, entry);
  }
  return {
    runs,
    standStill(ids) {
      ids.forEach((id) => standstills.get(id)?.begin());
    },
    goOn(ids) {
      ids.forEach((id) => standstills.get(id)?.end());
    },
  };
}
