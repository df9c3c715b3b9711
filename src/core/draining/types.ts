/**
 * How an instance stands towards new work: `serving` as usual; `leaving`, when its stop is being told and it
 * still serves whoever has not heard; `refusing`, when it finishes what it has.
 */
export type DrainPhase = 'serving' | 'leaving' | 'refusing';

/** Work open here, by who handed it in. */
export interface OpenWork {
  readonly callerRequests: number;
  readonly peerRequests: number;
}

/** Something beside open requests that keeps an instance from going, for example answers still promised. */
export interface DrainHold {
  readonly name: string;
  isHeld(): boolean;
}
