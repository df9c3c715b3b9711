import type { OutlierOptions } from '../configuration';
import type { DecisionRecorder, TraceLineOf } from '../decision-trace';
import { createOutlierTracker } from './outlier-tracker';
import type { OutlierTracker } from './outlier-tracker';
import type { Ejection } from './types';

type Step = TraceLineOf<'serverTry'>['step'];

/** Creates a tracker that writes its attempts and ejections to the decision trace as they happen. */
export function createRecordedOutlierTracker(
  options: () => OutlierOptions,
  onEjection: (ejection: Ejection) => void,
  record: DecisionRecorder,
): OutlierTracker {
  let ejections: Ejection[] = [];
  let attempts = 0;
  const tracker = createOutlierTracker(options, (ejection) => {
    ejections.push(ejection);
    onEjection(ejection);
  });

  const recordStep = (tryId: number, atMs: number, step: Step): void => {
    const stated = step.kind === 'begin' ? { options: options() } : {};
    record({ kind: 'serverTry', atMs, tryId, step, ...stated, outcome: ejections });
    ejections = [];
  };

  return {
    begin(server, workUnits, nowMs) {
      attempts += 1;
      const tryId = attempts;
      let lastStepAtMs = nowMs;
      const observed = tracker.begin(server, workUnits, nowMs);
      recordStep(tryId, nowMs, { kind: 'begin', ...server, workUnits });
      return {
        headReceived(atMs, isFailure) {
          lastStepAtMs = atMs;
          observed.headReceived(atMs, isFailure);
          recordStep(tryId, atMs, { kind: 'head', isFailure });
        },
        partsReceived(count) {
          observed.partsReceived(count);
          recordStep(tryId, lastStepAtMs, { kind: 'parts', count });
        },
        ended(atMs) {
          observed.ended(atMs);
          recordStep(tryId, atMs, { kind: 'ended' });
        },
        failed(atMs, failure) {
          observed.failed(atMs, failure);
          recordStep(tryId, atMs, { kind: 'failed', failure });
        },
        abandoned(atMs) {
          observed.abandoned(atMs);
          recordStep(tryId, atMs, { kind: 'abandoned' });
        },
      };
    },
    mayUse: (serverId, nowMs, random) => tracker.mayUse(serverId, nowMs, random),
    ejectionState: (serverId, nowMs) => tracker.ejectionState(serverId, nowMs),
  };
}
