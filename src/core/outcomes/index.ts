/** Whether a request that brought no answer ran. */
export { combineOutcomes, judgeOutcome } from './judge-outcome';
export type { AbortCause, EndlessBytes, EndlessShape, Evidence, LossCause, Outcome } from './types';
