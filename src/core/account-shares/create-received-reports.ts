import type { DemandReport } from './types';

/** A report, with the time at which it was received. */
export interface ReceivedReport {
  readonly report: DemandReport;
  readonly atMs: number;
}

/** The latest reports of the other instances of the region. */
export interface ReceivedReports {
  receive(report: DemandReport, nowMs: number): void;
  /** Returns the reports on a service that have not expired. */
  of(service: string, nowMs: number): readonly ReceivedReport[];
  removeExpired(nowMs: number): void;
}

/**
 * TTL of a report, ms. Any sample of the region suffices to compute shares. So the TTL need not grow with the interval
 * between reports, and no decision is based on old demand.
 */
const REPORT_TTL_MS = 2_000;
/** Maximum number of reports that are kept: two services of 300 instances, with some margin. */
const MAX_REPORTS = 1_000;

function isNewer(report: DemandReport, previous: DemandReport): boolean {
  if (report.incarnation !== previous.incarnation) return report.incarnation > previous.incarnation;
  return report.sequence > previous.sequence;
}

/** Creates an empty record. A report replaces an older one of the same sender and service; others are ignored. */
export function createReceivedReports(): ReceivedReports {
  const received = new Map<string, ReceivedReport>();
  const isFresh = ({ atMs }: ReceivedReport, nowMs: number) => nowMs - atMs <= REPORT_TTL_MS;
  return {
    receive(report, nowMs) {
      const key = JSON.stringify([report.from, report.service]);
      const previous = received.get(key);
      // The datagrams of one sender may arrive repeated or in another order.
      const isOutdated =
        previous !== undefined && isFresh(previous, nowMs) && !isNewer(report, previous.report);
      if (isOutdated || (previous === undefined && received.size >= MAX_REPORTS)) return;
      received.set(key, { report, atMs: nowMs });
    },
    of: (service, nowMs) =>
      [...received.values()].filter(
        (entry) => entry.report.service === service && isFresh(entry, nowMs),
      ),
    removeExpired(nowMs) {
      for (const [key, entry] of received) if (!isFresh(entry, nowMs)) received.delete(key);
    },
  };
}
