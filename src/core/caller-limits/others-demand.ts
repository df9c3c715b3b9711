/** What the other instances said about callers, while it stands. */
export interface OthersDemand {
  note(callerId: string, origin: string, perSecond: number, untilMs: number): void;
  /** Sum of what stands about a caller, requests/s. */
  of(callerId: string, nowMs: number): number;
  callers(): number;
}

interface Told {
  readonly perSecond: number;
  readonly untilMs: number;
}

/** Nothing said yet. */
export function createOthersDemand(): OthersDemand {
  const told = new Map<string, Map<string, Told>>();

  const dropLapsed = (callerId: string, nowMs: number): ReadonlyMap<string, Told> => {
    const byOrigin = told.get(callerId) ?? new Map<string, Told>();
    for (const [origin, { untilMs }] of byOrigin) {
      if (untilMs <= nowMs) byOrigin.delete(origin);
    }
    if (byOrigin.size === 0) told.delete(callerId);
    return byOrigin;
  };

  return {
    note(callerId, origin, perSecond, untilMs) {
      const byOrigin = told.get(callerId) ?? new Map<string, Told>();
      byOrigin.set(origin, { perSecond, untilMs });
      told.set(callerId, byOrigin);
    },
    of(callerId, nowMs) {
      if (!told.has(callerId)) return 0;
      return [...dropLapsed(callerId, nowMs).values()].reduce(
        (sum, { perSecond }) => sum + perSecond,
        0,
      );
    },
    callers: () => told.size,
  };
}
