import type { KnownLimit } from './known-limits';
import type { LimitMessage, ToldLimit } from './limit-messages';

/** Sends what this instance knows of limits to the instances that need it. */
export interface LimitReports {
  /** Sends what is due. */
  sendDue(known: readonly KnownLimit[], nowMs: number): void;
  keepOnly(serverIds: ReadonlySet<string>): void;
}

/** Options of limit reports. */
export interface LimitReportsOptions {
  /** Returns the address of the instance that counts a server; undefined if that is this one, or if there is none. */
  readonly counterAddress: (serverId: string) => string | undefined;
  /** Whether this instance counts a server. */
  readonly isCounter: (serverId: string) => boolean;
  /** Addresses of the other instances of the region. */
  readonly addresses: () => readonly string[];
  readonly send: (address: string, message: LimitMessage) => void;
}

/** Interval between two reports of an unchanged limit to the instance that counts it, ms. */
const REPORT_INTERVAL_MS = 1_000;
/** Interval between two announcements of an unchanged limit to all instances, ms; new instances learn of it by them. */
const ANNOUNCE_INTERVAL_MS = 3_000;
/** Minimum interval between two announcements, ms, and its growth with each recipient. */
const MIN_ANNOUNCE_INTERVAL_MS = 250;
const ANNOUNCE_INTERVAL_PER_RECIPIENT_MS = 5;
/** Time for which the end of a limit is still told, ms: a message may be lost. */
const TELL_END_MS = 8_000;
/** Maximum number of limits in one message, so that it fits into one datagram. */
const MAX_LIMITS_PER_MESSAGE = 12;

interface Told {
  perSecond: number | undefined;
  atMs: number;
}

/** Returns what another instance is told of a limit. */
export function toldLimit(known: KnownLimit, nowMs: number): ToldLimit {
  return {
    server: known.incarnationId,
    perSecond: known.perSecond ?? null,
    ageMs: Math.max(0, Math.round(nowMs - known.observedAtMs)),
  };
}

/**
 * Creates reports: instances that observe a limit report it to the instance that counts the server, and that one
 * announces it to all others.
 *
 * If each instance went by its own observations alone, those that send nothing to a limited server would not learn that
 * its limit has ended, and if each told all others, the messages would grow with the square of the fleet.
 */
export function createLimitReports(options: LimitReportsOptions): LimitReports {
  const reported = new Map<string, Told>();
  const announced = new Map<string, Told>();
  let nextAnnouncementAtMs = 0;

  const isDue = (
    known: KnownLimit,
    told: Told | undefined,
    intervalMs: number,
    nowMs: number,
  ): boolean => {
    const { perSecond, changedAtMs } = known;
    if (told === undefined || told.perSecond !== perSecond) return true;
    if (perSecond === undefined && nowMs - changedAtMs > TELL_END_MS) return false;
    return nowMs - told.atMs >= intervalMs;
  };

  const sendTo = (
    addresses: readonly string[],
    limits: readonly KnownLimit[],
    nowMs: number,
  ): void => {
    for (let start = 0; start < limits.length; start += MAX_LIMITS_PER_MESSAGE) {
      const some = limits.slice(start, start + MAX_LIMITS_PER_MESSAGE);
      const message: LimitMessage = {
        kind: 'serverLimits',
        limits: some.map((known) => toldLimit(known, nowMs)),
      };
      for (const address of addresses) options.send(address, message);
    }
  };

  const markTold = (told: Map<string, Told>, limits: readonly KnownLimit[], nowMs: number) => {
    for (const { incarnationId, perSecond } of limits) {
      told.set(incarnationId, { perSecond, atMs: nowMs });
    }
  };

  const report = (known: readonly KnownLimit[], nowMs: number): void => {
    const due = known.filter(
      (limit) =>
        limit.isObservedHere &&
        isDue(limit, reported.get(limit.incarnationId), REPORT_INTERVAL_MS, nowMs),
    );
    const byAddress = new Map<string, KnownLimit[]>();
    for (const limit of due) {
      const address = options.counterAddress(limit.incarnationId);
      if (address === undefined) continue;
      byAddress.set(address, [...(byAddress.get(address) ?? []), limit]);
    }
    for (const [address, limits] of byAddress) {
      sendTo([address], limits, nowMs);
      markTold(reported, limits, nowMs);
    }
  };

  const announce = (known: readonly KnownLimit[], nowMs: number): void => {
    if (nowMs < nextAnnouncementAtMs) return;
    const due = known.filter(
      (limit) =>
        options.isCounter(limit.incarnationId) &&
        isDue(limit, announced.get(limit.incarnationId), ANNOUNCE_INTERVAL_MS, nowMs),
    );
    if (due.length === 0) return;
    const addresses = options.addresses();
    const intervalMs = addresses.length * ANNOUNCE_INTERVAL_PER_RECIPIENT_MS;
    nextAnnouncementAtMs = nowMs + Math.max(MIN_ANNOUNCE_INTERVAL_MS, intervalMs);
    sendTo(addresses, due, nowMs);
    markTold(announced, due, nowMs);
  };

  return {
    sendDue(known, nowMs) {
      if (known.length === 0) return;
      report(known, nowMs);
      announce(known, nowMs);
    },
    keepOnly(serverIds) {
      for (const told of [reported, announced]) {
        for (const id of told.keys()) if (!serverIds.has(id)) told.delete(id);
      }
    },
  };
}
