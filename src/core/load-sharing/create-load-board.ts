import type { LoadStatement } from './types';

/** What the other instances of a region have under way at its servers, added up. */
export interface LoadBoard {
  take(statement: LoadStatement, nowMs: number): void;
  /** Requests of the others that are open at a server. */
  inFlight(incarnationId: string): number;
  /** Prompt tokens of the others that have not brought a first byte there. */
  pendingTokens(incarnationId: string): number;
  /** Instances whose statements are in use. */
  heardOf(): number;
  /** Drops what instances said that have fallen silent since. */
  dropOld(nowMs: number): void;
}

interface Sums {
  inFlight: number;
  pendingTokens: number;
}

interface Heard {
  readonly statement: LoadStatement;
  readonly atMs: number;
}

/**
 * Age at which a statement is dropped, ms. An instance that has died has its requests ended by then as well, and one
 * that lives speaks several times a second.
 */
const OLD_AFTER_MS = 2_000;

/**
 * A board on which nobody has written.
 *
 * Answers peaks in which several instances choose among the same servers: each sees its own requests at once and those
 * of the others only by reports that come with answers, seconds late. Long prompts that were just sent are on no report
 * at all. So instances pile prompts on the same server, and one notices first bytes and pauses of a second at one server
 * beside another that reads nothing. Statements are whole, so that a lost one is made good by the next.
 */
export function createLoadBoard(): LoadBoard {
  const heard = new Map<string, Heard>();
  const sums = new Map<string, Sums>();

  const add = ({ servers }: LoadStatement, sign: 1 | -1): void => {
    for (const { incarnationId, inFlight, pendingTokens } of servers) {
      const sum = sums.get(incarnationId) ?? { inFlight: 0, pendingTokens: 0 };
      sum.inFlight += sign * inFlight;
      sum.pendingTokens += sign * pendingTokens;
      if (sum.inFlight <= 0 && sum.pendingTokens <= 0) sums.delete(incarnationId);
      else sums.set(incarnationId, sum);
    }
  };

  const drop = (from: string): void => {
    const before = heard.get(from);
    if (before === undefined) return;
    add(before.statement, -1);
    heard.delete(from);
  };

  return {
    take(statement, nowMs) {
      drop(statement.from);
      heard.set(statement.from, { statement, atMs: nowMs });
      add(statement, 1);
    },
    inFlight: (incarnationId) => Math.max(0, sums.get(incarnationId)?.inFlight ?? 0),
    pendingTokens: (incarnationId) => Math.max(0, sums.get(incarnationId)?.pendingTokens ?? 0),
    heardOf: () => heard.size,
    dropOld(nowMs) {
      for (const [from, { atMs }] of heard) if (nowMs - atMs > OLD_AFTER_MS) drop(from);
    },
  };
}
