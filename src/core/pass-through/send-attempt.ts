import type { AnswerListener, Exchange, OutgoingRequest } from '../exchanges';
import { SMALL_BODY_BYTES } from '../held-bytes';
import type { RequestBody } from '../held-bytes';
import type { AttemptOptions } from './attempt-types';
import { attemptHeaders } from './attempt-headers';
import { PEER_IDLE_MS } from './other-regions';
import { sendWhenWarm } from './send-when-warm';

/** Receives what becomes of the sending of an attempt. */
export interface SendAttemptListener {
  readonly listener: AnswerListener;
  /** Called once a connection is free or can be opened. */
  readonly onBegun: () => void;
  /** Called if the server may get no request any more; none was sent to it. */
  readonly onUnusable: (reason: string) => void;
}

/** Connect timeout for a server of this region: several round trips within a region. */
const CONNECT_TIMEOUT_MS = 500;
/** Connect timeout for an instance of another region: several round trips of the longest links. */
const PEER_CONNECT_TIMEOUT_MS = 800;
/**
 * Maximum connections to another instance: the number of requests that its region is likely to
 * accept from this instance at once.
 */
const PEER_MAX_CONNECTIONS = 128;
/**
 * Maximum idle time of a reused connection to a server for a request that may not be repeated. One
 * that was idle for longer may have broken unnoticed, and the request would be lost with it.
 */
const TRUSTED_IDLE_MS = 1_500;
/**
 * Like `TRUSTED_IDLE_MS`, for a connection to another instance, which keeps idle connections for a
 * minute. TCP probes detect a silent one within about ten seconds.
 */
const PEER_TRUSTED_IDLE_MS = 12_000;
/**
 * Maximum idle time of a reused connection for other requests; the pool closes idle connections
 * earlier.
 */
const MAX_IDLE_MS = 60_000;
const NO_BODY = new Uint8Array();

/** Returns a small body as one buffer, and a large one in parts, so that it is not joined. */
function bodyToSend(body: RequestBody): OutgoingRequest['body'] {
  if (body.length > SMALL_BODY_BYTES) return body;
  const [only, ...others] = body.parts();
  if (only === undefined) return NO_BODY;
  return others.length === 0 ? only : Buffer.concat(body.parts());
}

function maxIdleMs({ plan, to }: AttemptOptions): number {
  if (plan.kind !== 'nonIdempotent') return to.kind === 'server' ? MAX_IDLE_MS : PEER_IDLE_MS;
  return to.kind === 'server' ? TRUSTED_IDLE_MS : PEER_TRUSTED_IDLE_MS;
}

/** Sends the request of an attempt to its destination; returns undefined if no connection is free. */
export function sendAttempt(
  options: AttemptOptions,
  { listener, onBegun, onUnusable }: SendAttemptListener,
): Exchange | undefined {
  const { clock, pool, request, to } = options;
  const isServer = to.kind === 'server';
  const send = (): Exchange | undefined => {
    if (isServer) options.notices.recordSent(to.server.incarnationId);
    const begun = pool.send(
      isServer ? to.server.address : to.peer.forwardAddress,
      {
        maxConnections: isServer ? to.maxConnections : PEER_MAX_CONNECTIONS,
        connectTimeoutMs: isServer ? CONNECT_TIMEOUT_MS : PEER_CONNECT_TIMEOUT_MS,
        maxIdleMs: maxIdleMs(options),
      },
      {
        method: request.method,
        path: request.path,
        headers: attemptHeaders(options, clock.monotonicMs()),
        body: bodyToSend(request.body),
        ...(isServer && request.requestId === '' && { isUnidentified: true }),
      },
      listener,
    );
    if (begun !== undefined) onBegun();
    return begun;
  };
  if (!isServer) return send();
  const { server, maxConnections } = to;
  const { warmCheck: check, mayReceive } = options;
  const { onEnd } = listener;
  return sendWhenWarm({ check, mayReceive, server, maxConnections, send, onEnd, onUnusable });
}
