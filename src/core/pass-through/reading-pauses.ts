/** Why an answer is not read at the moment: its caller reads slowly, there is no room for more of it, or another one goes on in its place. */
export type PauseReason = 'callerIsSlow' | 'noRoom' | 'inReserve';

/** Reasons for which the reading of one answer is paused. */
export interface ReadingPauses {
  begin(reason: PauseReason): void;
  end(reason: PauseReason): void;
}

/** Creates pauses that are reported when the first reason appears, and when the last one goes. */
export function createReadingPauses(onPause: () => void, onResume: () => void): ReadingPauses {
  const reasons = new Set<PauseReason>();
  return {
    begin(reason) {
      const wasPaused = reasons.size > 0;
      reasons.add(reason);
      if (!wasPaused) onPause();
    },
    end(reason) {
      if (reasons.delete(reason) && reasons.size === 0) onResume();
    },
  };
}
