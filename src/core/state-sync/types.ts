import type { RouteTable } from '../host-routes';
import type { ServerAnnouncement } from '../server-registry';
import type { Position } from './position';

/** One item that operators or backend servers publish. */
export type PublishedItem =
  | { readonly kind: 'routes'; readonly table: RouteTable }
  | { readonly kind: 'server'; readonly announcement: ServerAnnouncement }
  | { readonly kind: 'evacuation'; readonly failureDomain: string };

/** A published item that holds a version of the routes. */
export type RoutesItem = PublishedItem & { readonly kind: 'routes' };

/** A published item that holds the announcement of a backend server. */
export type ServerItem = PublishedItem & { readonly kind: 'server' };

/** The effect of a change on published state. */
export type PublishedEffect =
  | { readonly kind: 'put'; readonly item: PublishedItem }
  | { readonly kind: 'serverGone'; readonly serverId: string }
  | { readonly kind: 'evacuationEnded'; readonly failureDomain: string }
  /** Listed in order with the other changes, since it invalidates the item stored before under the same key. */
  | { readonly kind: 'unreadable'; readonly item: UnreadableItem };

/** One change of published state, with its revision in the era of the answer that holds it. */
export type PublishedChange = PublishedEffect & {
  readonly revision: number;
  /** Revision that created the changed item; undefined if it is not stated or the item was removed. */
  readonly createdRevision?: number | undefined;
};

/** An item that could not be parsed. It is logged, and the server it belongs to is no longer used. */
export interface UnreadableItem {
  readonly key: string;
  /** The server that the item should describe; undefined for items of other kinds. */
  readonly serverId: string | undefined;
  readonly reason: string;
}

/** When an item was created and changed last. */
export interface ItemChange {
  readonly lastChanged: number;
  /** Undefined if the source does not state it. */
  readonly created: number | undefined;
}

/** What the source states of the changes that led to its items, also to those that are not used here. */
export interface ItemRevisions {
  readonly items: readonly ItemChange[];
  /** Revision at which operators wrote a configuration for the first time; undefined if the source does not state it. */
  readonly configurationCreated: number | undefined;
}

/** The complete published state, as of `position` or slightly later. */
export interface PublishedState {
  readonly position: Position;
  readonly items: readonly PublishedItem[];
  readonly unreadable: readonly UnreadableItem[];
  /** Undefined for a copy of another instance, and where the source has been restored from an older backup. */
  readonly revisions?: ItemRevisions | undefined;
}

/** Changes after a position. */
export type PublishedChanges =
  | {
      readonly kind: 'changes';
      readonly position: Position;
      readonly changes: readonly PublishedChange[];
    }
  /** The requested history is no longer kept or belongs to an earlier era; the complete state must be read again. */
  | { readonly kind: 'historyGone' };

/** The read-only source of published state. Its methods reject if the source does not answer or refuses the call. */
export interface StateSource {
  /** Reads the complete published state. */
  readAll(signal: AbortSignal): Promise<PublishedState>;
  /** Returns the changes after `position` as soon as there are any, or an empty list after `waitMs`. */
  watch(position: Position, waitMs: number, signal: AbortSignal): Promise<PublishedChanges>;
  /** Returns at once the changes since a position in the past; absent for a source that keeps no history. */
  readPast?(position: Position, signal: AbortSignal): Promise<PublishedChanges>;
}
