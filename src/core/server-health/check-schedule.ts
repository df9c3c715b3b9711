import type { RandomSource } from '../random';
import type { CheckedServer } from './types';

/** When which server is checked next. */
export interface CheckSchedule {
  /** The servers whose check is due; their next one is set. Those not in `servers` are forgotten. */
  takeDue(
    servers: ReadonlySet<CheckedServer>,
    isQuestioned: (serverId: string) => boolean,
    nowMs: number,
  ): readonly CheckedServer[];
  /** Brings the next check of a server forward. */
  bringForward(serverId: string, nowMs: number): void;
}

/** A server in question is checked this many times as often, so that doubt is short whichever way it ends. */
const QUESTIONED_RATE = 4;

/** An empty schedule. */
export function createCheckSchedule(random: RandomSource): CheckSchedule {
  const nextAtMs = new Map<string, number>();

  const forgetOthers = (servers: ReadonlySet<CheckedServer>) => {
    const ids = new Set([...servers].map(({ serverId }) => serverId));
    for (const serverId of nextAtMs.keys()) if (!ids.has(serverId)) nextAtMs.delete(serverId);
  };

  return {
    takeDue(servers, isQuestioned, nowMs) {
      forgetOthers(servers);
      return [...servers].filter(({ serverId, rules }) => {
        // The first check falls at a random point, so that the checks of many servers do not come together.
        const dueAtMs = nextAtMs.get(serverId) ?? nowMs + random.next() * rules.intervalMs;
        nextAtMs.set(serverId, dueAtMs);
        if (dueAtMs > nowMs) return false;
        const rate = isQuestioned(serverId) ? QUESTIONED_RATE : 1;
        nextAtMs.set(serverId, nowMs + rules.intervalMs / rate);
        return true;
      });
    },
    bringForward(serverId, nowMs) {
      nextAtMs.set(serverId, nowMs);
    },
  };
}
