import type { AdaptiveLimit } from '../admission';

/** Load that a server last reported. */
export interface ServerReport {
  /** Time of the reported load, on the clock of this process. */
  readonly atMs: number;
  readonly runningRequests: number;
  readonly waitingRequests: number;
}

/** One request that this instance has open at a server. */
export interface OpenWork {
  readonly units: number;
  readonly begunAtMs: number;
  /** Prompt tokens that the server probably has to compute for it. */
  readonly prefillTokens: number;
}

/** State of a server as this instance knows it. */
export interface ServerState {
  readonly serverId: string;
  readonly address: string;
  readonly failureDomain: string;
  readonly limit: AdaptiveLimit;
  /** Rank among the servers of the pool in the hash order that all instances share, from 0 to less than 1. */
  hashRank(): number;
  setHashRank(hashRank: number): void;
  /** Prompt tokens that the server has to compute for requests whose answer has not begun yet. */
  pendingPrefillTokens(): number;
  /** Estimated utilisation of the server, by this instance and others. */
  utilisation(nowMs: number): number;
  /** Number of requests that the server reported as waiting, reduced by the age of the report. */
  reportedWaiting(nowMs: number): number;
  /** Adds the work of a request that is sent to the server. */
  begin(work: OpenWork): void;
  /** Records that the answer has begun, which means that the prompt was computed. */
  firstByte(work: OpenWork): void;
  /** Removes work added by `begin`; the limit must be updated separately. */
  end(work: OpenWork): void;
  recordReport(report: ServerReport): void;
  lastReport(): ServerReport | undefined;
}

/** Properties of a server from the configuration. */
export interface PoolServer {
  readonly serverId: string;
  readonly address: string;
  readonly failureDomain: string;
}

/** TTL of a report, ms; its weight decreases to 0 over this time. */
const REPORT_TTL_MS = 5_000;

/** Creates the state of a server without open work. */
export function createServerState(server: PoolServer, limit: AdaptiveLimit): ServerState {
  const open = new Set<OpenWork>();
  const inPrefill = new Set<OpenWork>();
  let pendingPrefillTokens = 0;
  let hashRank = 0;
  let report: ServerReport | undefined;
  let otherRequests = 0;

  const endPrefill = (work: OpenWork) => {
    if (inPrefill.delete(work)) pendingPrefillTokens -= work.prefillTokens;
  };

  /** Returns the weight of the last report, from 1 (just made) to 0 (expired). */
  const freshness = (nowMs: number): number =>
    report === undefined ? 0 : Math.max(0, 1 - (nowMs - report.atMs) / REPORT_TTL_MS);

  const otherInstancesUnits = (nowMs: number): number =>
    freshness(nowMs) * otherRequests * limit.meanRequestUnits();

  return {
    ...server,
    limit,
    hashRank: () => hashRank,
    setHashRank(next) {
      hashRank = next;
    },
    pendingPrefillTokens: () => pendingPrefillTokens,
    utilisation(nowMs) {
      const others = otherInstancesUnits(nowMs);
      return (limit.inFlightUnits() + others) / (limit.limitUnits() + others);
    },
    reportedWaiting: (nowMs) => freshness(nowMs) * (report?.waitingRequests ?? 0),
    begin(work) {
      open.add(work);
      inPrefill.add(work);
      pendingPrefillTokens += work.prefillTokens;
    },
    firstByte: endPrefill,
    end(work) {
      endPrefill(work);
      open.delete(work);
    },
    recordReport(received) {
      if (report !== undefined && received.atMs < report.atMs) return;
      report = received;
      let ownAtReport = 0;
      for (const work of open) if (work.begunAtMs <= received.atMs) ownAtReport += 1;
      const reported = received.runningRequests + received.waitingRequests;
      otherRequests = Math.max(0, reported - ownAtReport);
    },
    lastReport: () => report,
  };
}
