import { plainBody, streamBody } from '../../soak/promises';
import type { ServerRun } from '../../soak/types';
import type { ReceivedRequest, ServerScript } from '../../standins/announced-server';
import { canHaveShape, writeEndlessly } from '../../standins/endless-answers';
import type { EndlessAnswer, EndlessShape } from '../../standins/endless-answers';
import { REQUEST_KINDS } from '../silent-servers/requests';

/** Servers that answer without end while they are in trouble. */
export interface TroubledServers {
  readonly answers: readonly EndlessAnswer[];
  /** Requests that may have run at a server in trouble, in order of time. */
  readonly runs: readonly ServerRun[];
  /** Sets whether the servers are in trouble; answers that have begun go on. */
  setTroubled(isTroubled: boolean): void;
  scriptOf(serverId: string, sound: ServerScript): ServerScript;
}

const isStream = ({ path }: ReceivedRequest): boolean =>
  REQUEST_KINDS.some(({ kind, prefix }) => kind === 'stream' && path.startsWith(prefix));

function soundBodyOf(request: ReceivedRequest): string {
  const requestId = request.headers.get('x-request-id') ?? '';
  if (!isStream(request)) return plainBody(requestId);
  return streamBody(requestId, Number(request.headers.get('last-event-id') ?? 0));
}

/** Creates servers that are sound so far; those with the given ids send `shape` while they are in trouble. */
export function createTroubledServers(
  serverIds: readonly string[],
  shape: EndlessShape | undefined,
): TroubledServers {
  const answers: EndlessAnswer[] = [];
  const runs: ServerRun[] = [];
  let isTroubled = false;

  const recordRun = (serverId: string, { path, headers }: ReceivedRequest): void => {
    if (path === '/health' || shape?.kind === 'notExecuted') return;
    runs.push({
      requestId: headers.get('x-request-id') ?? '',
      serverId,
      server: serverId,
      atMs: Date.now(),
      account: headers.get('x-tenant-id'),
      sawKey: headers.has('x-api-key'),
    });
  };

  return {
    answers,
    runs,
    setTroubled(next) {
      isTroubled = next;
    },
    scriptOf(serverId, sound) {
      if (shape === undefined || !serverIds.includes(serverId)) return sound;
      return (request, socket) => {
        const asked = { request, isStream: isStream(request), soundBody: soundBodyOf(request) };
        if (!isTroubled || !canHaveShape(shape, asked)) {
          sound(request, socket);
          return;
        }
        recordRun(serverId, request);
        answers.push(writeEndlessly(shape, asked, socket));
      };
    },
  };
}
