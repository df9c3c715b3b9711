/** Whether an answer states that its server is leaving, that is, will end soon and takes no new requests. */
export type StatedDeparture =
  | { readonly kind: 'none' }
  | { readonly kind: 'leaving' }
  /** The value cannot be interpreted. */
  | { readonly kind: 'malformed'; readonly text: string };

/** For how long a refusal asks the receiving instance to send nothing. */
export type StatedPause =
  | { readonly kind: 'none' }
  | { readonly kind: 'pause'; readonly waitMs: number }
  /** The value cannot be interpreted. */
  | { readonly kind: 'malformed'; readonly text: string };

/** How an instance learned what a server states: from the answer to a request or to a health check, or from another instance. */
export type NoticeSource = 'answer' | 'healthCheck' | 'instance';

/** An answer of a server, as far as it concerns the requests after it. */
export interface AnswerNotice {
  /** Identifies one start of the server; what it states ends with that start. */
  readonly incarnationId: string;
  readonly departure: StatedDeparture;
  readonly pause: StatedPause;
  /** Whether the server states that it is unavailable: it has not run a request, or is not healthy. */
  readonly isRefusal: boolean;
  readonly source: Exclude<NoticeSource, 'instance'>;
}
