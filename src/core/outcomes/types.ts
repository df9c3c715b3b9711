/** What a caller may rely on after a refusal: the request did not run and never will, or nobody can say. */
export type Outcome = 'notRun' | 'unknown';

/** How an attempt was lost after bytes may have left. */
export type LossCause =
  'reset' | 'timeout' | 'silence' | 'aborted' | 'malformed' | 'peerFellSilent';

/** What this process knows of an attempt that brought no answer. */
export type Evidence =
  /** Nothing left this process: refused before sending, or no connection was ever made. */
  | { readonly kind: 'neverSent' }
  /** Another instance refused; `vouches` when it says that nothing ran and nothing will. */
  | { readonly kind: 'refusedByPeer'; readonly vouches: boolean }
  /** A backend server refused; `declaredNotRun` when the configuration says its status means so. */
  | { readonly kind: 'refusedByServer'; readonly declaredNotRun: boolean }
  /** Bytes may have left, and no answer came. */
  | { readonly kind: 'lostAfterSending'; readonly cause: LossCause };
