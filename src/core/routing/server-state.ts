import type { AdaptiveLimit } from '../admission';

/** Load as a server last reported it. */
export interface ServerReport {
  /** When it was true, on the clock of this process. */
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

/** A server as this instance uses it. */
export interface ServerState {
  readonly serverId: string;
  readonly address: string;
  readonly failureDomain: string;
  readonly limit: AdaptiveLimit;
  /** Place among the pool's servers in an order that all instances share, 0 up to 1. */
  place(): number;
  setPlace(place: number): void;
  /** Prompt tokens sent there whose computing has not shown its end by a first byte. */
  pendingPrefillTokens(): number;
  /** Estimated share of the server that is in use, by this instance and by others. */
  utilisation(nowMs: number): number;
  /** Requests that the server itself reported as waiting; counts for less the older the report. */
  reportedWaiting(nowMs: number): number;
  begin(work: OpenWork): void;
  firstByte(work: OpenWork): void;
  /** Ends the accounts of `begin`; the limit is told apart. */
  end(work: OpenWork): void;
  noteReport(report: ServerReport): void;
  lastReport(): ServerReport | undefined;
}

/** What is known of a server from its configuration. */
export interface PoolServer {
  readonly serverId: string;
  readonly address: string;
  readonly failureDomain: string;
}

/** A report counts for less the older it is, and for nothing after this. */
const REPORT_LIFETIME_MS = 5_000;

/** A server with nothing open. */
export function createServerState(server: PoolServer, limit: AdaptiveLimit): ServerState {
  const open = new Set<OpenWork>();
  const inPrefill = new Set<OpenWork>();
  let pendingPrefillTokens = 0;
  let place = 0;
  let report: ServerReport | undefined;
  let otherRequests = 0;

  const endPrefill = (work: OpenWork) => {
    if (inPrefill.delete(work)) pendingPrefillTokens -= work.prefillTokens;
  };

  /** 1 for a report of this moment, 0 for one that says nothing any more. */
  const freshness = (nowMs: number): number =>
    report === undefined ? 0 : Math.max(0, 1 - (nowMs - report.atMs) / REPORT_LIFETIME_MS);

  const othersUnits = (nowMs: number): number =>
    freshness(nowMs) * otherRequests * limit.meanRequestUnits();

  return {
    ...server,
    limit,
    place: () => place,
    setPlace(next) {
      place = next;
    },
    pendingPrefillTokens: () => pendingPrefillTokens,
    utilisation(nowMs) {
      const others = othersUnits(nowMs);
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
    noteReport(received) {
      if (report !== undefined && received.atMs < report.atMs) return;
      report = received;
      let ownThen = 0;
      for (const work of open) if (work.begunAtMs <= received.atMs) ownThen += 1;
      const reported = received.runningRequests + received.waitingRequests;
      otherRequests = Math.max(0, reported - ownThen);
    },
    lastReport: () => report,
  };
}
