import type { RouteTable } from '../host-routes';
import type { ServerAnnouncement } from '../server-registry';
import type { Position } from './position';

/** One piece of what operators and backend servers publish. */
export type PublishedItem =
  | { readonly kind: 'routes'; readonly table: RouteTable }
  | { readonly kind: 'server'; readonly announcement: ServerAnnouncement }
  | { readonly kind: 'evacuation'; readonly failureDomain: string };

/** An item that holds routes. */
export type RoutesItem = PublishedItem & { readonly kind: 'routes' };

/** An item that tells of a server. */
export type ServerItem = PublishedItem & { readonly kind: 'server' };

/** What a change does. */
export type PublishedEffect =
  | { readonly kind: 'put'; readonly item: PublishedItem }
  | { readonly kind: 'serverGone'; readonly serverId: string }
  | { readonly kind: 'evacuationEnded'; readonly failureDomain: string }
  /** It stands among the others in the order in which they were made, since it ends what stood there before. */
  | { readonly kind: 'unreadable'; readonly item: UnreadableItem };

/** One change of what is published, and the revision that it made in the era of the answer that holds it. */
export type PublishedChange = PublishedEffect & { readonly revision: number };

/** An item that could not be read: it is logged, and names no server to use. */
export interface UnreadableItem {
  readonly key: string;
  /** The server of which it should tell; undefined for an item of something else. */
  readonly serverId: string | undefined;
  readonly reason: string;
}

/** All that is published, as of `position` or a little later. */
export interface PublishedState {
  readonly position: Position;
  readonly items: readonly PublishedItem[];
  readonly unreadable: readonly UnreadableItem[];
}

/** Changes after a position. */
export type PublishedChanges =
  | {
      readonly kind: 'changes';
      readonly position: Position;
      readonly changes: readonly PublishedChange[];
    }
  /** The history that was asked for is not kept, or is of an era before; everything has to be read again. */
  | { readonly kind: 'historyGone' };

/** The read-only source of published state. Calls reject when it does not answer or refuses. */
export interface StateSource {
  /** Everything that is published. */
  readAll(signal: AbortSignal): Promise<PublishedState>;
  /** Changes after `position`, as soon as there is one, or none after `waitMs`. */
  watch(position: Position, waitMs: number, signal: AbortSignal): Promise<PublishedChanges>;
}
