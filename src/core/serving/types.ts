import type { Caller, CompiledConfiguration, Service } from '../configuration';
import type { Evidence } from '../outcomes';

/** One header line. */
export interface Header {
  readonly name: string;
  readonly value: string;
}

/** Who handed the request to this instance. A request from a peer is never handed on again. */
export type RequestOrigin =
  { readonly kind: 'caller' } | { readonly kind: 'peer'; readonly instanceId: string };

/**
 * Has the last word before a request leaves this process.
 *
 * Checks made earlier go stale: a process may sleep between the check and the send, or the request may be
 * cancelled meanwhile. Whoever sends asks the guard directly before the first byte, and tells it what became
 * of the send, so that one place knows whether anything may have run.
 */
export interface SendGuard {
  /** Given to the backend server as `Idempotency-Key`; such a request is sent at most once, on a fresh connection. */
  readonly idempotencyKey: string | undefined;
  /** Notes that the first byte leaves now; throws a `RefusalError` where it must not. */
  beginSend(): void;
  /** Tells what the failure of a send that was begun proves. */
  sendFailed(evidence: Evidence): void;
}

/** What one request has cost so far, over all parts of its answer. */
export interface RequestCosts {
  /** Tries that may have run. */
  triesThatMayHaveRun: number;
}

/** A request that has been read, authenticated and matched to a service. */
export interface GatewayRequest {
  readonly requestId: string;
  /** Counts the attempts of one request along its way, from 1. */
  readonly attempt: number;
  /** Servers and instances that failed earlier tries of this request; routing prefers others. */
  readonly avoid?: readonly string[];
  readonly origin: RequestOrigin;
  readonly caller: Caller;
  readonly service: Service;
  readonly method: string;
  /** Path and query as the server gets them. */
  readonly path: string;
  /** Headers for the server; connection headers and credentials of the caller are not among them. */
  readonly headers: readonly Header[];
  readonly body: Uint8Array;
  /** The body as the caller sent it, where `body` is a continuation; a request is known again by it. */
  readonly askedBody?: Uint8Array;
  /** On the monotonic clock of this process. */
  readonly deadlineAtMs: number;
  /** The version in force when the request came; it sees no other, save for a tightened residency. */
  readonly configuration: CompiledConfiguration;
  /** Shared by the parts of an answer that several engines give; absent for answers of one part. */
  readonly costs?: RequestCosts;
  /** Asked before each send; absent where a request may be sent at any time and repeated. */
  readonly guard?: SendGuard;
}

/** Start of an answer. */
export interface ResponseHead {
  readonly status: number;
  readonly headers: readonly Header[];
}

/** Where an answer goes: a caller's connection or a peer's stream. */
export interface ResponseSink {
  /** Whether the head has been passed on; after that nothing else can be answered. */
  readonly headSent: boolean;
  sendHead(head: ResponseHead): void;
  /** Resolves once more may be sent, so that a slow reader holds the sender back. */
  sendChunk(chunk: Uint8Array): Promise<void>;
  /** The answer is whole. */
  end(): void;
  /** The answer can't be finished; ends it so that no client takes it for complete. */
  abort(reason: string): void;
}
