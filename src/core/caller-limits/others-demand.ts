/** Valid announcements of the other instances about the demand of callers. */
export interface OthersDemand {
  /** Records the demand of a caller at another instance, in place of what that instance announced before. */
  record(callerId: string, origin: string, perSecond: number, untilMs: number): void;
  /** Returns the sum of the valid announcements about a caller, requests/s. */
  demandOf(callerId: string, nowMs: number): number;
  /** Returns the number of callers with announcements, including expired ones that were not yet dropped. */
  callers(): number;
}

interface ReportedDemand {
  readonly perSecond: number;
  readonly untilMs: number;
}

/** Creates an in-memory store of announcements by caller and origin. */
export function createOthersDemand(): OthersDemand {
  const reports = new Map<string, Map<string, ReportedDemand>>();

  const dropExpired = (callerId: string, nowMs: number): ReadonlyMap<string, ReportedDemand> => {
    const byOrigin = reports.get(callerId) ?? new Map<string, ReportedDemand>();
    for (const [origin, { untilMs }] of byOrigin) {
      if (untilMs <= nowMs) byOrigin.delete(origin);
    }
    if (byOrigin.size === 0) reports.delete(callerId);
    return byOrigin;
  };

  return {
    record(callerId, origin, perSecond, untilMs) {
      const byOrigin = reports.get(callerId) ?? new Map<string, ReportedDemand>();
      byOrigin.set(origin, { perSecond, untilMs });
      reports.set(callerId, byOrigin);
    },
    demandOf(callerId, nowMs) {
      if (!reports.has(callerId)) return 0;
      return [...dropExpired(callerId, nowMs).values()].reduce(
        (sum, { perSecond }) => sum + perSecond,
        0,
      );
    },
    callers: () => reports.size,
  };
}
