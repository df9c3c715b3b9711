import type { ForwardedHandlers } from '../../src/core/node/serve-forwarded';
import type { ForwardTransport } from '../../src/core/peers';
import type { GatewayRequest } from '../../src/core/serving';
import type { Fleet } from './fleet';
import type { ReadEnd } from './sim-sender';

/** Broken parts that replace correct ones, to show that the checks detect them. */
export interface Mutant {
  readonly name: string;
  /** Misinterprets how a send ended. */
  readonly readEnd?: ReadEnd;
  /** Secrets and name of a process are kept by its successor. */
  readonly keepsSecrets?: boolean;
  readonly ignoresRegions?: boolean;
  readonly forwardsAgain?: boolean;
  readonly transport?: (right: ForwardTransport, fleet: Fleet) => ForwardTransport;
  readonly handlers?: (right: ForwardedHandlers) => ForwardedHandlers;
  readonly sendRequest?: (request: GatewayRequest) => GatewayRequest;
}

/** No mutation. */
export const NO_MUTANT: Mutant = { name: 'none' };

/** A guard that allows every send and records none. */
function withoutGuard(request: GatewayRequest): GatewayRequest {
  const { guard } = request;
  if (guard === undefined) return request;
  return {
    ...request,
    guard: { idempotencyKey: guard.idempotencyKey, beginSend: () => {}, sendFailed: () => {} },
  };
}

/** Forwards a call again after the first one failed, like a transport with built-in retries. */
function retryingTransport(right: ForwardTransport): ForwardTransport {
  return {
    ...right,
    forward(address, message, timeoutMs) {
      let current = right.forward(address, message, timeoutMs);
      return {
        cancel: () => current.cancel(),
        async *[Symbol.asyncIterator]() {
          try {
            yield* current;
          } catch {
            const again = { ...message, serial: message.serial + 1_000n };
            current = right.forward(address, again, timeoutMs);
            yield* current;
          }
        },
      };
    },
  };
}

/** Accepts every event as part of the requested answer. */
function acceptingTransport(right: ForwardTransport): ForwardTransport {
  return {
    ...right,
    forward(address, message, timeoutMs) {
      const call = right.forward(address, message, timeoutMs);
      const { requestId, attempt } = message;
      return {
        cancel: () => call.cancel(),
        async *[Symbol.asyncIterator]() {
          for await (const event of call) yield { ...event, requestId, attempt };
        },
      };
    },
  };
}

/** All mutants; the checks have to detect each of them. */
export const MUTANTS: readonly Mutant[] = [
  { name: 'retry after a reset', sendRequest: withoutGuard },
  { name: 'ticket kept over a restart', keepsSecrets: true },
  {
    name: 'notRun on a timeout',
    readEnd: () => ({ kind: 'neverSent' }),
  },
  { name: 'forwarded twice by the transport', transport: retryingTransport },
  { name: 'forwarded again by its receiver', forwardsAgain: true },
  { name: 'late answer accepted', transport: acceptingTransport },
  { name: 'data sent to a barred region', ignoresRegions: true },
  {
    name: 'cancellation vouched for without a look',
    handlers: (right) => ({ ...right, cancel: () => true }),
  },
  {
    name: 'cancellation that leaves no tombstone',
    handlers: (right) => {
      const seen = new Set<string>();
      return {
        serveForwarded(message, sink, signal) {
          seen.add(`${message.fromInstanceId} ${message.fromIncarnation} ${message.serial}`);
          return right.serveForwarded(message, sink, signal);
        },
        cancel: (message) =>
          seen.has(`${message.fromInstanceId} ${message.fromIncarnation} ${message.serial}`)
            ? right.cancel(message)
            : true,
      };
    },
  },
  {
    name: 'expiry judged before the connection is made',
    sendRequest: (request) => {
      const { guard } = request;
      if (guard === undefined) return request;
      guard.beginSend();
      return { ...request, guard: { ...guard, beginSend: () => {}, sendFailed: guard.sendFailed } };
    },
  },
  {
    name: 'process addressed not compared',
    transport: (right, fleet) => ({
      ...right,
      cancel: (address, message, timeoutMs) =>
        right.cancel(
          address,
          {
            ...message,
            get toIncarnation() {
              return BigInt(fleet.instances.get(address)?.process.incarnation ?? 0);
            },
          },
          timeoutMs,
        ),
    }),
  },
];
