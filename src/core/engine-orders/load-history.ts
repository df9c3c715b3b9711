import type { LoadAllowance } from './weight-budget';
import type { EngineSight, ModelVersion } from './types';

/**
 * How many loads began lately, from what engines tell of the age of their loads and from what this sender itself
 * ordered. The engines' word is what keeps the limit over the replacement of a sender; its own memory covers
 * loads that failed and engines that do not tell.
 */
export interface LoadHistory {
  noteOrdered(engineId: string, model: ModelVersion, nowMs: number): void;
  /** Loads that may begin now. */
  loadsLeft(
    allowance: LoadAllowance,
    sights: ReadonlyMap<string, EngineSight>,
    nowMs: number,
  ): number;
}

const keyOf = (engineId: string, name: string, version: string) =>
  `${engineId}\n${name}\n${version}`;

/** An empty history. */
export function createLoadHistory(): LoadHistory {
  const orderedAtMs = new Map<string, number>();

  return {
    noteOrdered(engineId, { name, version }, nowMs) {
      orderedAtMs.set(keyOf(engineId, name, version), nowMs);
    },
    loadsLeft({ loads, windowMs }, sights, nowMs) {
      const recent = new Set<string>();
      for (const [key, atMs] of orderedAtMs) {
        if (nowMs - atMs < windowMs) recent.add(key);
        else orderedAtMs.delete(key);
      }
      for (const { engineId, models } of sights.values()) {
        for (const { name, version, loadAgeMs } of models) {
          const isRecent = loadAgeMs !== undefined && loadAgeMs < windowMs;
          if (isRecent) recent.add(keyOf(engineId, name, version));
        }
      }
      return Math.max(0, loads - recent.size);
    },
  };
}
