import type { OutlierOptions } from '../configuration';
import type { EjectionState } from './types';

/**
 * When an ejected server may be used again, and with which share of its traffic. Each consecutive ejection
 * lasts twice as long as the previous one, so that probing a server that stays bad costs fewer and fewer
 * requests. The return is gradual: a server that returns with cold caches and gets its whole share at once
 * becomes slow again.
 */
export interface EjectionSchedule {
  readonly ejections: number;
  readonly untilMs: number;
}

/** Share of its traffic that a returning server gets at first; it then rises to the full share. */
const INITIAL_SHARE = 0.05;

/** Schedule of a server that was never ejected. */
export const NEVER_EJECTED: EjectionSchedule = { ejections: 0, untilMs: -Infinity };

/**
 * Returns the schedule after one more ejection at `nowMs`. The ejection count decreases by one for each
 * `forgetEjectionMs` that the server has since worked well.
 */
export function nextEjection(
  previous: EjectionSchedule,
  nowMs: number,
  options: OutlierOptions,
): EjectionSchedule {
  const healthyMs = Math.max(0, nowMs - previous.untilMs - options.returnMs);
  const expiredEjections = Math.floor(healthyMs / options.forgetEjectionMs);
  const ejections = Math.max(0, previous.ejections - expiredEjections) + 1;
  const durationMs = Math.min(options.ejectAtMostMs, options.ejectForMs * 2 ** (ejections - 1));
  return { ejections, untilMs: nowMs + durationMs };
}

/** Time for which a server that refuses connections is ejected, ms. */
const UNREACHABLE_EJECTION_MS = 2_000;

/** Returns the schedule of a server that could not be reached: a short ejection that is not counted. */
export function ejectUnreachable(previous: EjectionSchedule, nowMs: number): EjectionSchedule {
  return { ...previous, untilMs: nowMs + UNREACHABLE_EJECTION_MS };
}

/** Returns the ejection state of the server at `nowMs`. */
export function ejectionStateAt(
  { untilMs }: EjectionSchedule,
  nowMs: number,
  options: OutlierOptions,
): EjectionState {
  if (nowMs < untilMs) return 'ejected';
  return nowMs < untilMs + options.returnMs ? 'returning' : 'inUse';
}

/** Returns the share of its traffic that the server gets at `nowMs`, 0 to 1. */
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
      return INITIAL_SHARE + (1 - INITIAL_SHARE) * progress;
    }
    case 'inUse':
      return 1;
    default:
      return ejectionState satisfies never;
  }
}
