import type { RandomSource } from '../random';
import type { CheckedServer } from './types';

/** Schedule of the health checks. */
export interface CheckSchedule {
  /** Returns the servers whose check is due and schedules their next one. Drops servers that are not in `servers`. */
  takeDue(
    servers: ReadonlySet<CheckedServer>,
    isSuspect: (serverId: string) => boolean,
    nowMs: number,
  ): readonly CheckedServer[];
  /** Makes the next check of a server due at once. */
  bringForward(serverId: string, nowMs: number): void;
}

/** Factor by which a suspect server is checked more often, so that it is soon known whether it is down or healthy. */
const SUSPECT_CHECK_RATE_FACTOR = 4;

/** Creates an empty schedule. */
export function createCheckSchedule(random: RandomSource): CheckSchedule {
  const nextAtMs = new Map<string, number>();

  const removeOthers = (servers: ReadonlySet<CheckedServer>) => {
    const ids = new Set([...servers].map(({ serverId }) => serverId));
    for (const serverId of nextAtMs.keys()) if (!ids.has(serverId)) nextAtMs.delete(serverId);
  };

  return {
    takeDue(servers, isSuspect, nowMs) {
      removeOthers(servers);
      return [...servers].filter(({ serverId, rules }) => {
        // The first check falls at a random point of the interval, so that checks of many servers do not coincide.
        const dueAtMs = nextAtMs.get(serverId) ?? nowMs + random.next() * rules.intervalMs;
        nextAtMs.set(serverId, dueAtMs);
        if (dueAtMs > nowMs) return false;
        const rateFactor = isSuspect(serverId) ? SUSPECT_CHECK_RATE_FACTOR : 1;
        nextAtMs.set(serverId, nowMs + rules.intervalMs / rateFactor);
        return true;
      });
    },
    bringForward(serverId, nowMs) {
      nextAtMs.set(serverId, nowMs);
    },
  };
}
