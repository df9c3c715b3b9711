import type { OutlierOptions } from '../configuration';
import type { EjectionState } from './types';

/**
 * When an ejected server comes back, and how much it gets then. Each ejection in a row lasts twice as long as
 * the one before, so a server that stays bad costs fewer and fewer requests to find that out. The return is
 * gradual: a server that comes back with cold caches and gets its whole share at once is slow again.
 */
export interface EjectionSchedule {
  readonly ejections: number;
  readonly untilMs: number;
}

/** Share of its traffic that a returning server gets at first; it rises to all of it. */
const FIRST_SHARE = 0.05;

/** A server that was never ejected. */
export const NEVER_EJECTED: EjectionSchedule = { ejections: 0, untilMs: -Infinity };

/** The schedule after one more ejection at `nowMs`; ejections long past are forgotten one by one. */
export function nextEjection(
  previous: EjectionSchedule,
  nowMs: number,
  options: OutlierOptions,
): EjectionSchedule {
  const goodMs = Math.max(0, nowMs - previous.untilMs - options.returnMs);
  const forgotten = Math.floor(goodMs / options.forgetEjectionMs);
  const ejections = Math.max(0, previous.ejections - forgotten) + 1;
  const lastsMs = Math.min(options.ejectAtMostMs, options.ejectForMs * 2 ** (ejections - 1));
  return { ejections, untilMs: nowMs + lastsMs };
}

/** Time after which a server on which nothing listened is tried again, ms. */
const UNREACHABLE_FOR_MS = 2_000;

/** The schedule of a server that could not be reached: short, and without a memory of it. */
export function pauseUnreachable(previous: EjectionSchedule, nowMs: number): EjectionSchedule {
  return { ...previous, untilMs: nowMs + UNREACHABLE_FOR_MS };
}

/** How the server is used at `nowMs`. */
export function ejectionStateAt(
  { untilMs }: EjectionSchedule,
  nowMs: number,
  options: OutlierOptions,
): EjectionState {
  if (nowMs < untilMs) return 'ejected';
  return nowMs < untilMs + options.returnMs ? 'returning' : 'inUse';
}

/** Share of its traffic that the server gets at `nowMs`, 0 to 1. */
export function shareAt(
  schedule: EjectionSchedule,
  nowMs: number,
  options: OutlierOptions,
): number {
  const ejectionState = ejectionStateAt(schedule, nowMs, options);
  switch (ejectionState) {
    case 'ejected':
      return 0;
    case 'returning': {
      const progress = (nowMs - schedule.untilMs) / options.returnMs;
      return FIRST_SHARE + (1 - FIRST_SHARE) * progress;
    }
    case 'inUse':
      return 1;
    default:
      return ejectionState satisfies never;
  }
}
