/**
 * Phase of the planned stop of an instance: `serving` before the stop; `leaving` during the notice, while the
 * stop is announced and new requests are still served; `refusing` when new requests are refused and open ones are
 * finished.
 */
export type DrainPhase = 'serving' | 'leaving' | 'refusing';

/** Numbers of open requests from callers and from peers. */
export interface OpenWork {
  readonly callerRequests: number;
  readonly peerRequests: number;
}

/** Something other than open requests that delays the end of an instance, for example promised answers. */
export interface DrainHold {
  readonly name: string;
  isHeld(): boolean;
}
