import type { Refused, RefusedPlacement } from './create-refuser';
import type { LocalChoice } from './local-choice';
import type { ForwardPeer } from './other-regions';
import type { ServerAbsence } from './server-absence';

/** Another instance, of another region or, for want of links to servers, of this one. */
export interface PeerDestination {
  readonly kind: 'peer';
  readonly peer: ForwardPeer;
  /** Whether it is of this region. */
  readonly isDetour?: boolean;
  /** Free slots of its region for the service of the request. */
  readonly room?: number | undefined;
}

/** Next destination of a request. */
export type Destination =
  ({ readonly kind: 'server' } & LocalChoice) | PeerDestination | RefusedPlacement;

/** Destination that a request can be sent to. */
export type SendableDestination = Exclude<Destination, { kind: 'none' }>;

/** Finding of a choice; a refusal is made, and its retry scheduled, only if the caller is going to get it. */
export type Finding = SendableDestination | { readonly kind: 'none'; refuse(): Refused };

/** A finding, and what it rests on. */
export interface Found {
  readonly finding: Finding;
  /** The best server of this region. */
  readonly best: LocalChoice | undefined;
  /** Why no server of this region was weighed; undefined if one was. */
  readonly absence: ServerAbsence | undefined;
  /** Whether the finding counts for the share of the account. */
  readonly countsForShare: boolean;
}
