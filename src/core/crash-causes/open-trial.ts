import type { Clock } from '../clock';
import type { PartTrials } from './part-trials';
import type { PartTrial } from './types';

/** Options of `openTrial`. */
export interface OpenTrialOptions {
  readonly clock: Pick<Clock, 'monotonicMs'>;
  readonly schedule: (delayMs: number, task: () => void) => void;
  readonly trials: Pick<PartTrials, 'begin' | 'end'>;
  /** Suspected parts of the request. */
  readonly tried: readonly string[];
  /** All parts of the request. */
  readonly parts: readonly string[];
  /** Tells the other instances that a part is being tried. */
  readonly announce: (part: string) => void;
  readonly onSurvived: () => void;
}

/** Interval at which the other instances are told of a trial while it goes on, ms. */
const ANNOUNCE_INTERVAL_MS = 1_000;
/** Time after which a trial without a result holds nothing back any more, ms. */
const MAX_TRIAL_MS = 6_000;

/** Begins a trial of some parts of a request, of which the other instances are told until it ends. */
export function openTrial(options: OpenTrialOptions): PartTrial {
  const { clock, schedule, trials, tried, parts, announce, onSurvived } = options;
  const endsAtMs = clock.monotonicMs() + MAX_TRIAL_MS;
  let isOpen = true;
  const end = (): void => {
    if (isOpen) for (const part of tried) trials.end(part);
    isOpen = false;
  };
  const goOn = (): void => {
    if (!isOpen) return;
    if (clock.monotonicMs() >= endsAtMs) {
      end();
      return;
    }
    for (const part of tried) announce(part);
    schedule(ANNOUNCE_INTERVAL_MS, goOn);
  };
  for (const part of tried) trials.begin(part);
  goOn();
  return { parts, recordSurvived: onSurvived, end };
}
