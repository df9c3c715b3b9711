import { refilled, withdraw } from '../shared-budget';
import type { Bucket } from '../shared-budget';
import type { PermitVerdict } from './types';

/** Counts the requests to limited servers, at the instance that does so for its region. */
export interface LimitCounts {
  /** Takes a permit for one request to a server. */
  take(serverId: string, rate: GrantedRate, nowMs: number): PermitVerdict;
  /** Drops the counts of all servers but these. */
  keepOnly(serverIds: ReadonlySet<string>): void;
}

/** Rate at which an instance grants permits for one server. */
export interface GrantedRate {
  /** Requests per second that the server takes from all instances. */
  readonly perSecond: number;
  /** Share of them that is granted here; from 0 to 1. */
  readonly share: number;
}

/** Time whose permits may be taken at once after a pause, s. */
const BURST_S = 0.5;
/** Minimum number of permits that may be taken at once with a share of 1; a request comes just after a permit is due. */
const MIN_BURST = 2;
/** Maximum time after which an instance may ask again, ms. It bounds how long a rate that has risen stays unused. */
const MAX_WAIT_MS = 1_000;
const MS_PER_S = 1_000;

interface ServerCount {
  readonly bucket: Bucket;
  readonly rate: GrantedRate;
  /** Time that the next instance which is denied a permit is told, monotonic ms. */
  readonly nextRetryAtMs: number;
}

const grantedPerSecond = ({ perSecond, share }: GrantedRate): number => perSecond * share;

function capacityOf(rate: GrantedRate): number {
  return Math.max(1, MIN_BURST * rate.share, grantedPerSecond(rate) * BURST_S);
}

/** Returns the count refilled up to now at its former rate, and at the new rate from now on. */
function refill(count: ServerCount, rate: GrantedRate, nowMs: number): ServerCount {
  const most = Math.min(capacityOf(count.rate), capacityOf(rate));
  const perSecond = grantedPerSecond(count.rate);
  return { ...count, bucket: refilled(count.bucket, { perSecond, most }, nowMs), rate };
}

/** Returns the time at which an instance that is denied a permit may ask again, monotonic ms. */
function retryAtMs({ bucket, rate, nextRetryAtMs }: ServerCount, nowMs: number): number {
  const perSecond = grantedPerSecond(rate);
  if (perSecond <= 0) return nowMs + MAX_WAIT_MS;
  const refilledAtMs = nowMs + ((1 - bucket.left) * MS_PER_S) / perSecond;
  return Math.min(nowMs + MAX_WAIT_MS, Math.max(refilledAtMs, nextRetryAtMs));
}

/**
 * Creates counts that grant permits at the rate of each server.
 *
 * Instances that are denied a permit are told different times to ask again, one permit apart. If all were told the same
 * time, a fleet of hundreds would ask at once for one permit.
 */
export function createLimitCounts(): LimitCounts {
  const counts = new Map<string, ServerCount>();

  // A new count is empty, since another instance may have granted permits just before.
  const countOf = (serverId: string, rate: GrantedRate, nowMs: number): ServerCount =>
    counts.get(serverId) ?? { bucket: { left: 0, atMs: nowMs }, rate, nextRetryAtMs: 0 };

  return {
    take(serverId, rate, nowMs) {
      const count = refill(countOf(serverId, rate, nowMs), rate, nowMs);
      if (count.bucket.left >= 1) {
        counts.set(serverId, { ...count, bucket: withdraw(count.bucket, 1) });
        return { kind: 'granted' };
      }
      const atMs = retryAtMs(count, nowMs);
      const perSecond = grantedPerSecond(rate);
      const nextRetryAtMs = Math.min(nowMs + MAX_WAIT_MS, atMs + MS_PER_S / perSecond);
      counts.set(serverId, { ...count, nextRetryAtMs });
      return { kind: 'denied', retryAfterMs: Math.max(1, Math.ceil(atMs - nowMs)) };
    },
    keepOnly(serverIds) {
      for (const id of counts.keys()) if (!serverIds.has(id)) counts.delete(id);
    },
  };
}
