import type { EndlessBytes, LossCause } from '../outcomes';
import type { DecisiveReason } from './forwarding';

/** Result of one attempt. */
export type AttemptResult =
  /** The complete answer has been passed on. */
  | { readonly kind: 'answered'; readonly status: number }
  /** No byte of the request has left this process. */
  | { readonly kind: 'neverSent'; readonly reason: string }
  /** The server states that it has not run the request. */
  | {
      readonly kind: 'rejected';
      readonly status: number;
      /** Time for which the server asks to send nothing, ms; undefined if it states none. */
      readonly pauseMs: number | undefined;
    }
  /** Another instance has refused the request, and states whether it may have run there. */
  | {
      readonly kind: 'peerRefused';
      readonly hasNotRun: boolean;
      readonly reason: DecisiveReason | undefined;
      /** Reason as stated, for log lines; undefined if it states none. */
      readonly statedReason: string | undefined;
      /** Time after which that instance expects the request again, ms; undefined if it states none. */
      readonly retryAfterMs: number | undefined;
    }
  /** The server answered with a failure, which can still be passed on. */
  | { readonly kind: 'serverFailed'; readonly status: number; passOn(): void }
  /** No answer arrived that may be passed on, and the request may have run. */
  | {
      readonly kind: 'lost';
      readonly reason: string;
      readonly cause: LossCause;
      /** Whether the server broke the answer off, as happens when it crashes. */
      readonly wasBrokenOff: boolean;
      /** What had no end, if that is the cause. */
      readonly endless?: EndlessBytes;
    };

/** Result of an attempt without an answer that could be passed on. */
export type FailedAttempt = Exclude<AttemptResult, { kind: 'answered' }>;
