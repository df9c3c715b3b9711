import type { Candidate } from '..';

/** Returns an idle candidate with 64 slots that has cached nothing; `overrides` replaces parts of it. */
export function candidate(incarnationId: string, overrides: Partial<Candidate> = {}): Candidate {
  return {
    incarnationId,
    slots: 64,
    load: 0,
    pendingTokens: 0,
    uncachedTokens: 0,
    copyableTokens: 0,
    delayMs: 0,
    speedFactor: 1,
    failureCostMs: 0,
    ...overrides,
  };
}
