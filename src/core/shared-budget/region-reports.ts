/** A fact about a backend server, as one instance of its region knows it. */
export interface ReportedFact {
  /** Identifies one start of the server. */
  readonly incarnationId: string;
  /** Whether this instance has learned it from the server itself. */
  readonly isObservedHere: boolean;
  /** When the fact became known here or changed, monotonic ms. */
  readonly changedAtMs: number;
}

/** Sends what this instance knows of servers to the instances that need it. */
export interface RegionReports<Fact extends ReportedFact> {
  /** Sends what is due. */
  sendDue(known: readonly Fact[], nowMs: number): void;
  keepOnly(incarnationIds: ReadonlySet<string>): void;
}

/** Options of `createRegionReports`. */
export interface RegionReportsOptions<Fact extends ReportedFact> {
  /** Returns the address of the instance that counts a server; undefined if that is this one, or if there is none. */
  readonly counterAddress: (incarnationId: string) => string | undefined;
  /** Whether this instance counts a server. */
  readonly isCounter: (incarnationId: string) => boolean;
  /** Addresses of the other instances of the region. */
  readonly addresses: () => readonly string[];
  /** Returns what a fact says, as a number; a change is sent at once. */
  readonly valueOf: (fact: Fact) => number | undefined;
  /** Returns how long a fact is reported to the counter, ms; a message may be lost. */
  readonly reportForMs: (fact: Fact) => number;
  /** Returns how long a fact is announced to all instances, ms. */
  readonly announceForMs: (fact: Fact) => number;
  /** Returns the interval between two announcements of an unchanged fact, ms; new instances learn of it by them. */
  readonly announceIntervalMs: (fact: Fact, nowMs: number) => number;
  /** Sends a few facts, which fit into one datagram. */
  readonly send: (address: string, facts: readonly Fact[], nowMs: number) => void;
}

/** Interval between two reports of an unchanged fact to the instance that counts the server, ms. */
const REPORT_INTERVAL_MS = 1_000;
/** Minimum interval between two announcements, ms, and its growth with each recipient. */
const MIN_ANNOUNCE_INTERVAL_MS = 250;
const ANNOUNCE_INTERVAL_PER_RECIPIENT_MS = 5;
/** Maximum number of facts in one message, so that it fits into one datagram. */
const MAX_FACTS_PER_MESSAGE = 12;

interface Sent {
  readonly value: number | undefined;
  readonly atMs: number;
}

/**
 * Creates reports: instances that learn a fact from a server report it to the instance that counts the server, and that
 * one announces it to all others.
 *
 * If each instance went by its own observations alone, those that send nothing to a server would not learn that a fact
 * has changed, and if each told all others, the messages would grow with the square of the fleet.
 */
export function createRegionReports<Fact extends ReportedFact>(
  options: RegionReportsOptions<Fact>,
): RegionReports<Fact> {
  const { valueOf } = options;
  const reported = new Map<string, Sent>();
  const announced = new Map<string, Sent>();
  let nextAnnouncementAtMs = 0;

  const isDue = (
    fact: Fact,
    sent: Sent | undefined,
    { intervalMs, forMs }: { intervalMs: number; forMs: number },
    nowMs: number,
  ): boolean => {
    if (sent === undefined || sent.value !== valueOf(fact)) return true;
    return nowMs - fact.changedAtMs <= forMs && nowMs - sent.atMs >= intervalMs;
  };

  const sendTo = (addresses: readonly string[], facts: readonly Fact[], nowMs: number): void => {
    for (let start = 0; start < facts.length; start += MAX_FACTS_PER_MESSAGE) {
      const some = facts.slice(start, start + MAX_FACTS_PER_MESSAGE);
      for (const address of addresses) options.send(address, some, nowMs);
    }
  };

  const markSent = (sent: Map<string, Sent>, facts: readonly Fact[], nowMs: number): void => {
    for (const fact of facts) sent.set(fact.incarnationId, { value: valueOf(fact), atMs: nowMs });
  };

  const report = (known: readonly Fact[], nowMs: number): void => {
    const due = known.filter((fact) => {
      const times = { intervalMs: REPORT_INTERVAL_MS, forMs: options.reportForMs(fact) };
      return fact.isObservedHere && isDue(fact, reported.get(fact.incarnationId), times, nowMs);
    });
    const byAddress = new Map<string, Fact[]>();
    for (const fact of due) {
      const address = options.counterAddress(fact.incarnationId);
      if (address === undefined) continue;
      byAddress.set(address, [...(byAddress.get(address) ?? []), fact]);
    }
    for (const [address, facts] of byAddress) {
      sendTo([address], facts, nowMs);
      markSent(reported, facts, nowMs);
    }
  };

  const announce = (known: readonly Fact[], nowMs: number): void => {
    if (nowMs < nextAnnouncementAtMs) return;
    const due = known.filter((fact) => {
      const times = {
        intervalMs: options.announceIntervalMs(fact, nowMs),
        forMs: options.announceForMs(fact),
      };
      const { incarnationId } = fact;
      return (
        options.isCounter(incarnationId) && isDue(fact, announced.get(incarnationId), times, nowMs)
      );
    });
    if (due.length === 0) return;
    const addresses = options.addresses();
    const intervalMs = addresses.length * ANNOUNCE_INTERVAL_PER_RECIPIENT_MS;
    nextAnnouncementAtMs = nowMs + Math.max(MIN_ANNOUNCE_INTERVAL_MS, intervalMs);
    sendTo(addresses, due, nowMs);
    markSent(announced, due, nowMs);
  };

  return {
    sendDue(known, nowMs) {
      if (known.length === 0) return;
      report(known, nowMs);
      announce(known, nowMs);
    },
    keepOnly(incarnationIds) {
      for (const sent of [reported, announced]) {
        for (const id of sent.keys()) if (!incarnationIds.has(id)) sent.delete(id);
      }
    },
  };
}
