import { pickIndex } from '../../src/core/random';
import type { RandomSource } from '../../src/core/random';
import type { RouteKind } from '../../src/core/host-routes';
import { TEST_CONFIGURATION } from '../../platform/testing/gateway';
import { SOAK_ACCOUNTS } from '../../soak/accounts';

/** The requests that callers send, and the routes that they use. */

/** Time that callers wait for an answer, ms; the routes time out at the same time. */
export const DEADLINE_MS = 5_000;
const MAX_ATTEMPTS = 2;

/** A kind of request. */
export interface RequestKind {
  readonly name: string;
  /** Start of the path; the rest is the time until the answer, or between two events of a stream, ms. */
  readonly prefix: string;
  readonly kind: RouteKind;
  /** Whether it may run more than once, or go on at another server. */
  readonly isRepeatable: boolean;
  readonly minMs: number;
  readonly maxMs: number;
}

const PLAIN = { minMs: 150, maxMs: 400 };
/** Streams of eight events take one to two seconds. */
const STREAM = { kind: 'stream', minMs: 125, maxMs: 250 } as const;

/** Kinds of requests, all sent equally often. */
export const REQUEST_KINDS: readonly RequestKind[] = [
  { name: 'safe', prefix: '/stock/', kind: 'idempotent', isRepeatable: true, ...PLAIN },
  { name: 'resumable stream', prefix: '/plans/', isRepeatable: true, ...STREAM },
  { name: 'other stream', prefix: '/chat/', isRepeatable: false, ...STREAM },
  { name: 'run once', prefix: '/orders/', kind: 'nonIdempotent', isRepeatable: false, ...PLAIN },
];

/** A request that a caller sends. */
export interface BenchRequest {
  readonly requestId: string;
  readonly of: RequestKind;
  readonly path: string;
  readonly kind: RouteKind;
  readonly maxAttempts: number;
}

/** Draws a request of one of the kinds. */
export function drawRequest(
  random: RandomSource,
  number: number,
  kinds: readonly RequestKind[] = REQUEST_KINDS,
): BenchRequest {
  const of = kinds[pickIndex(random, kinds.length)];
  if (of === undefined) throw new RangeError('there is no kind of request');
  const workMs = of.minMs + Math.floor(random.next() * (of.maxMs - of.minMs));
  return {
    requestId: `r-${number}`,
    of,
    path: `${of.prefix}${workMs}`,
    kind: of.kind,
    maxAttempts: MAX_ATTEMPTS,
  };
}

/** Returns a version of the configuration; each has an idle timeout of its own. */
export function benchConfiguration(version: number, timeoutMs = DEADLINE_MS) {
  const { Routes, Limits } = TEST_CONFIGURATION;
  return {
    ...TEST_CONFIGURATION,
    Version: version,
    Tenants: SOAK_ACCOUNTS,
    Routes: Routes.map((route) => ({
      ...route,
      MaxAttempts: MAX_ATTEMPTS,
      TimeoutMs: timeoutMs,
    })),
    Limits: { ...Limits, IdleTimeoutMs: Limits.IdleTimeoutMs - version * 100 },
  };
}
