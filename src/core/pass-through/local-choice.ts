import type { PredictionParts } from '../placement';
import type { KnownServer } from '../server-registry';
import type { ServerAbsence } from './server-absence';

/** The best server of this region for a request, with the prediction for it. */
export interface LocalChoice {
  readonly server: KnownServer;
  /** Predicted time to the first byte, corrected by the errors of earlier predictions. */
  readonly predictedMs: number;
  /** Predicted time to the first byte before the correction. */
  readonly rawPredictedMs: number;
  /** Prediction for a server of usual speed with the same load, before the correction. */
  readonly usualMs: number;
  /** Factor of the time that the server takes for its work; 1 is the usual speed of the service. */
  readonly speedFactor: number;
  /** What the prediction before the correction consists of. */
  readonly parts: PredictionParts;
  /** Part of `predictedMs` that is spent on reading the request's own prompt. */
  readonly ownPrefillMs: number;
  /** Estimated prompt tokens that the server has to compute, without those that it copies. */
  readonly tokens: number;
  /** Estimated number of requests at the server. */
  readonly load: number;
  /** Estimated prompt tokens that the server has yet to compute for the requests at it. */
  readonly pendingTokens: number;
  /** The server from whose cache the prompt is copied; undefined for none. */
  readonly copyFrom: KnownServer | undefined;
  readonly maxConnections: number;
}

/** Returns the predicted time to the first byte without the computation of the request's own prompt, ms. */
export function waitMsOf({ predictedMs, ownPrefillMs }: LocalChoice): number {
  return predictedMs - ownPrefillMs;
}

/** The best servers of this region for one request. */
export interface LocalChoices {
  /** Best server that is not known to be unreachable; undefined if there is none. */
  readonly best: LocalChoice | undefined;
  /**
   * Best server among those that recently could not be connected to, or are under suspicion; set
   * only if no other is usable.
   */
  readonly unreachable: LocalChoice | undefined;
  /**
   * The server that only its limit or a pause keeps from receiving the request; the first that may
   * be asked again if there are several. Set only if `best` is not.
   */
  readonly restricted: RestrictedServer | undefined;
  /** Why there is neither `best` nor `unreachable`; undefined if there is one. */
  readonly absence: ServerAbsence | undefined;
}

/** A server that may not be sent a request at the moment because of what it has stated. */
export interface RestrictedServer {
  readonly incarnationId: string;
  /** Whether its limit leaves no permit, or it has asked for a pause. */
  readonly kind: 'limited' | 'paused';
  /** Time until it may be asked again, ms. */
  readonly waitMs: number;
}
