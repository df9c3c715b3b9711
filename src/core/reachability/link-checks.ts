/** Chooses the servers that are checked to learn whether the links of this instance are cut. */

/** A server as far as its checks are concerned. */
export interface CheckedServer {
  readonly incarnationId: string;
  /** Time since the last byte for requests that wait for their first one, ms; 0 if none waits. */
  readonly silentMs: number;
}

/** State of the links when checks may be due. */
export interface CheckInput {
  readonly isCut: boolean;
  readonly nowMs: number;
  /** Time of the last byte of any server, monotonic ms. */
  readonly lastReachedAtMs: number;
  readonly servers: readonly CheckedServer[];
}

/** Chooses servers to check. */
export interface LinkChecks {
  /** Returns the servers that are to be checked now. */
  due(input: CheckInput): readonly string[];
}

/** Silence of all servers although requests are in progress after which some are checked, ms. */
const MAX_SILENCE_MS = 400;
/** Number of servers that are checked in silence: a single one may be busy or failed. */
const CHECKED_SERVERS = 2;
/** Interval between checks while servers are silent, ms. */
const SILENCE_INTERVAL_MS = 1_000;
/** Interval between checks while the links are cut, ms, one server at a time. */
const CUT_INTERVAL_MS = 300;

/**
 * Creates a chooser.
 *
 * Connections that hang fail only after seconds, and requests that may run once are lost with them. So if nothing arrives
 * from any server, two of them are checked. While the links are cut, requests no longer show that servers are reached
 * again, so one server after the other is checked.
 */
export function createLinkChecks(): LinkChecks {
  let nextAtMs = 0;
  let turn = 0;

  const dueWhileCut = ({ servers, nowMs }: CheckInput): readonly string[] => {
    nextAtMs = nowMs + CUT_INTERVAL_MS;
    turn += 1;
    const server = servers[turn % Math.max(1, servers.length)];
    return server === undefined ? [] : [server.incarnationId];
  };

  const dueInSilence = ({ servers, nowMs }: CheckInput): readonly string[] => {
    const silent = servers.filter(({ silentMs }) => silentMs >= MAX_SILENCE_MS);
    if (silent.length === 0) return [];
    nextAtMs = nowMs + SILENCE_INTERVAL_MS;
    const others = servers.filter(({ silentMs }) => silentMs < MAX_SILENCE_MS);
    return [...silent, ...others]
      .slice(0, CHECKED_SERVERS)
      .map(({ incarnationId }) => incarnationId);
  };

  return {
    due(input) {
      if (input.nowMs < nextAtMs) return [];
      if (input.isCut) return dueWhileCut(input);
      return input.nowMs - input.lastReachedAtMs < MAX_SILENCE_MS ? [] : dueInSilence(input);
    },
  };
}
