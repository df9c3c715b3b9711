import type { OpenSizes } from './memory-slots';
import type { LoadReport } from './types';

/** Load and health of one server, as observed by this instance. */
export interface ServerLoad {
  /** Open requests that this instance has sent to the server. */
  ownInFlight: number;
  /** Open requests of other instances, according to the server's last report. */
  othersInFlight: number;
  reportedAtMs: number;
  /** Prompt tokens of this instance's requests that still wait for their first byte. */
  pendingTokens: number;
  /** Sizes of this instance's open requests that state their size. */
  openSizes: OpenSizes;
  /** Requests of this instance that wait for their first byte. */
  awaitingFirstByte: number;
  /** Time of the last byte received, or of sending the first of the waiting requests if that is later. */
  lastByteAtMs: number;
  /** Time of the last byte that a caller can use, or of sending the first of the open requests if that is later. */
  lastProgressAtMs: number;
  /** Recent share of failed requests, from 0 to 1. */
  failureShare: number;
  /** Recent average by which first bytes arrived later than predicted, ms. */
  latenessMs: number;
  /** End of the backoff after a failed connection. */
  backoffUntilMs: number;
  consecutiveConnectFailures: number;
  decayedAtMs: number;
}

/** Tracks the load and health of servers. */
export interface ServerLoads {
  /**
   * Records that a request is sent, `tokens` of whose prompt the server has to compute; `keptTokens` is its size in the
   * server's memory, undefined if not stated.
   */
  recordSent(incarnationId: string, tokens: number, nowMs: number, keptTokens?: number): void;
  /** Records that any byte of a response was received. */
  recordReceived(incarnationId: string, nowMs: number): void;
  /** Records that something was received that a caller can use. */
  recordProgress(incarnationId: string, nowMs: number): void;
  /** Records the first byte of a response. */
  recordFirstByte(incarnationId: string, timing: FirstByteTiming, nowMs: number): void;
  /** Records that a request fails that has not ended; its end is to be recorded without a verdict. */
  recordFailure(incarnationId: string, nowMs: number): void;
  /** Records the end of a request, whatever its outcome. */
  recordEnd(incarnationId: string, ended: EndedRequest, nowMs: number): void;
  /** Records a server's own report, which counts the requests of all instances. */
  recordReport(incarnationId: string, report: LoadReport, nowMs: number): void;
  /** Records that a connection to the server failed. */
  recordUnreachable(incarnationId: string, nowMs: number): void;
  /** Returns the estimated number of running and waiting requests of all instances. */
  load(incarnationId: string, nowMs: number): number;
  pendingTokens(incarnationId: string): number;
  /** Returns the sizes of this instance's open requests in the server's memory. */
  openSizes(incarnationId: string): OpenSizes;
  ownInFlight(incarnationId: string): number;
  /** Returns the delay of a first byte that is expected from recent silence and lateness, ms. */
  delayMs(incarnationId: string, nowMs: number): number;
  /** Returns the recent share of failed requests, from 0 to 1. */
  failureShare(incarnationId: string, nowMs: number): number;
  /** Whether the server is in backoff after a failed connection. */
  isBackingOff(incarnationId: string, nowMs: number): boolean;
  /** Returns the time since the server's last byte, ms; 0 if no request waits for its first byte. */
  silentMs(incarnationId: string, nowMs: number): number;
  /** Returns the time since the server's last byte, ms; 0 if this instance has no open request there. */
  unheardMs(incarnationId: string, nowMs: number): number;
  /** Returns the time since the server sent something that a caller can use, ms; 0 if no request is open there. */
  unprogressedMs(incarnationId: string, nowMs: number): number;
  totalInFlight(): number;
  /** Returns the open requests of this instance, per server. */
  ownLoads(): readonly OwnServerLoad[];
  keepOnly(incarnationIds: ReadonlySet<string>): void;
}

/** Open requests of this instance at one server. */
export interface OwnServerLoad {
  readonly incarnationId: string;
  readonly inFlight: number;
  readonly pendingTokens: number;
}

/** Predicted and actual time to a first byte. */
export interface FirstByteTiming {
  readonly tokens: number;
  readonly predictedMs: number;
  readonly actualMs: number;
}

/** Outcome of a request. */
export interface EndedRequest {
  /** Whether its first byte had been received. */
  readonly hadFirstByte: boolean;
  readonly tokens: number;
  /** Size of the request in the server's memory, tokens; the same as when it was sent. */
  readonly keptTokens?: number | undefined;
  /** Undefined if the end says nothing about the server, for example if the caller disconnected. */
  readonly isFailure: boolean | undefined;
}

/** Weight of the newest sample in a moving average over about eight requests. */
const NEWEST_SAMPLE_WEIGHT = 0.125;
/** Half-life of the failure share and the lateness, ms, so that a recovered server is tried again. */
const HEALTH_HALF_LIFE_MS = 3_000;
/** Half-life of the reported requests of other instances, ms: about the duration of an answer. */
const REPORT_HALF_LIFE_MS = 2_000;
/** Maximum silence that is normal, ms: a long prompt may delay a batch for that long. */
const MAX_NORMAL_SILENCE_MS = 500;
/**
 * Backoff after a failed connection, ms; doubles with each further failure. Most servers are reachable again within
 * seconds.
 */
const INITIAL_BACKOFF_MS = 250;
const MAX_BACKOFF_MS = 2_000;
/** Upper bound of a recorded lateness, ms; higher values carry no more information. */
const MAX_LATENESS_MS = 3_000;

const NO_OPEN_SIZES: OpenSizes = { requests: 0, tokens: 0 };

/** Returns the sizes with `sign` requests of the given size added; unchanged if the size is not stated. */
function addSize(sizes: OpenSizes, keptTokens: number | undefined, sign: 1 | -1): OpenSizes {
  if (keptTokens === undefined) return sizes;
  return { requests: sizes.requests + sign, tokens: sizes.tokens + sign * keptTokens };
}

function createServerLoad(nowMs: number): ServerLoad {
  return {
    ownInFlight: 0,
    othersInFlight: 0,
    reportedAtMs: nowMs,
    pendingTokens: 0,
    openSizes: NO_OPEN_SIZES,
    awaitingFirstByte: 0,
    lastByteAtMs: nowMs,
    lastProgressAtMs: nowMs,
    failureShare: 0,
    latenessMs: 0,
    backoffUntilMs: 0,
    consecutiveConnectFailures: 0,
    decayedAtMs: nowMs,
  };
}

/** Creates a tracker without any data. */
export function createServerLoads(): ServerLoads {
  const loads = new Map<string, ServerLoad>();
  let total = 0;

  const loadOf = (incarnationId: string, nowMs: number): ServerLoad => {
    let load = loads.get(incarnationId);
    if (load === undefined) {
      load = createServerLoad(nowMs);
      loads.set(incarnationId, load);
    }
    return load;
  };

  /** Returns the factor by which values have decayed since they were last updated. */
  const decayFactor = (load: ServerLoad, nowMs: number): number =>
    0.5 ** (Math.max(0, nowMs - load.decayedAtMs) / HEALTH_HALF_LIFE_MS);

  const decay = (incarnationId: string, nowMs: number): ServerLoad => {
    const load = loadOf(incarnationId, nowMs);
    const factor = decayFactor(load, nowMs);
    load.failureShare *= factor;
    load.latenessMs *= factor;
    load.decayedAtMs = nowMs;
    return load;
  };

  const recordVerdict = (incarnationId: string, isFailure: boolean, nowMs: number): void => {
    const load = decay(incarnationId, nowMs);
    load.failureShare += ((isFailure ? 1 : 0) - load.failureShare) * NEWEST_SAMPLE_WEIGHT;
  };

  const silentMs = (incarnationId: string, nowMs: number): number => {
    const load = loads.get(incarnationId);
    return load === undefined || load.awaitingFirstByte === 0 ? 0 : nowMs - load.lastByteAtMs;
  };

  return {
    recordSent(incarnationId, tokens, nowMs, keptTokens) {
      const load = loadOf(incarnationId, nowMs);
      if (load.awaitingFirstByte === 0) load.lastByteAtMs = Math.max(load.lastByteAtMs, nowMs);
      if (load.ownInFlight === 0) load.lastProgressAtMs = Math.max(load.lastProgressAtMs, nowMs);
      load.ownInFlight += 1;
      load.awaitingFirstByte += 1;
      load.pendingTokens += tokens;
      load.openSizes = addSize(load.openSizes, keptTokens, 1);
      total += 1;
    },
    recordReceived(incarnationId, nowMs) {
      loadOf(incarnationId, nowMs).lastByteAtMs = nowMs;
    },
    recordProgress(incarnationId, nowMs) {
      loadOf(incarnationId, nowMs).lastProgressAtMs = nowMs;
    },
    recordFirstByte(incarnationId, { tokens, predictedMs, actualMs }, nowMs) {
      const load = decay(incarnationId, nowMs);
      load.awaitingFirstByte -= 1;
      load.pendingTokens -= tokens;
      load.lastByteAtMs = nowMs;
      load.consecutiveConnectFailures = 0;
      const lateMs = Math.min(MAX_LATENESS_MS, Math.max(0, actualMs - predictedMs));
      load.latenessMs += (lateMs - load.latenessMs) * NEWEST_SAMPLE_WEIGHT;
    },
    recordFailure: (incarnationId, nowMs) => recordVerdict(incarnationId, true, nowMs),
    recordEnd(incarnationId, { hadFirstByte, tokens, keptTokens, isFailure }, nowMs) {
      const load = loadOf(incarnationId, nowMs);
      load.openSizes = addSize(load.openSizes, keptTokens, -1);
      load.ownInFlight -= 1;
      total -= 1;
      if (!hadFirstByte) {
        load.awaitingFirstByte -= 1;
        load.pendingTokens -= tokens;
      }
      if (isFailure !== undefined) recordVerdict(incarnationId, isFailure, nowMs);
    },
    recordReport(incarnationId, { running, waiting }, nowMs) {
      const load = loadOf(incarnationId, nowMs);
      load.othersInFlight = Math.max(0, running + waiting - load.ownInFlight);
      load.reportedAtMs = nowMs;
    },
    recordUnreachable(incarnationId, nowMs) {
      const load = loadOf(incarnationId, nowMs);
      // Requests that were sent together fail together; they count as one failure.
      if (load.backoffUntilMs > nowMs) return;
      const backoffMs = Math.min(
        MAX_BACKOFF_MS,
        INITIAL_BACKOFF_MS * 2 ** load.consecutiveConnectFailures,
      );
      load.backoffUntilMs = nowMs + backoffMs;
      load.consecutiveConnectFailures += 1;
    },
    load(incarnationId, nowMs) {
      const load = loads.get(incarnationId);
      if (load === undefined) return 0;
      const factor = 0.5 ** ((nowMs - load.reportedAtMs) / REPORT_HALF_LIFE_MS);
      return load.ownInFlight + load.othersInFlight * factor;
    },
    pendingTokens: (incarnationId) => loads.get(incarnationId)?.pendingTokens ?? 0,
    openSizes: (incarnationId) => loads.get(incarnationId)?.openSizes ?? NO_OPEN_SIZES,
    ownInFlight: (incarnationId) => loads.get(incarnationId)?.ownInFlight ?? 0,
    delayMs(incarnationId, nowMs) {
      const load = loads.get(incarnationId);
      if (load === undefined) return 0;
      const silenceMs = Math.max(0, silentMs(incarnationId, nowMs) - MAX_NORMAL_SILENCE_MS);
      return load.latenessMs * decayFactor(load, nowMs) + silenceMs;
    },
    failureShare(incarnationId, nowMs) {
      const load = loads.get(incarnationId);
      return load === undefined ? 0 : load.failureShare * decayFactor(load, nowMs);
    },
    isBackingOff: (incarnationId, nowMs) => (loads.get(incarnationId)?.backoffUntilMs ?? 0) > nowMs,
    silentMs,
    unheardMs(incarnationId, nowMs) {
      const load = loads.get(incarnationId);
      return load === undefined || load.ownInFlight === 0 ? 0 : nowMs - load.lastByteAtMs;
    },
    unprogressedMs(incarnationId, nowMs) {
      const load = loads.get(incarnationId);
      return load === undefined || load.ownInFlight === 0 ? 0 : nowMs - load.lastProgressAtMs;
    },
    totalInFlight: () => total,
    ownLoads: () =>
      [...loads]
        .filter(([, load]) => load.ownInFlight > 0)
        .map(([incarnationId, { ownInFlight, pendingTokens }]) => ({
          incarnationId,
          inFlight: ownInFlight,
          pendingTokens: Math.max(0, Math.round(pendingTokens)),
        })),
    keepOnly(incarnationIds) {
      for (const [incarnationId, load] of loads) {
        if (!incarnationIds.has(incarnationId) && load.ownInFlight === 0) {
          loads.delete(incarnationId);
        }
      }
    },
  };
}
