import type { RouteTable } from '../host-routes';
import type { ItemChange, ItemRevisions, PublishedChange, PublishedState } from './types';

/** A software version that a server of a service announced in the past. */
export interface PastVersion {
  readonly service: string;
  readonly softwareVersion: string;
}

/** What changes since a revision in the past say of the software versions that have served. */
export type PastVersions =
  | {
      readonly kind: 'all';
      readonly versions: readonly PastVersion[];
      readonly tables: readonly RouteTable[];
    }
  /** A server was there of which it is not known which version it had. */
  | { readonly kind: 'incomplete'; readonly serverId: string };

/**
 * Returns whether a complete read lists the result of every change since operators first wrote a configuration. Nothing
 * that it lists was then anything else before, and nothing was removed. No request was served before that.
 */
export function listsEveryChange({ position, revisions }: PublishedState): boolean {
  const configurationCreated = revisions?.configurationCreated;
  if (revisions === undefined || configurationCreated === undefined) return false;
  const { items } = revisions;
  const listed = new Set(items.map(({ lastChanged }) => lastChanged));
  for (let { revision } = position; revision >= configurationCreated; revision -= 1) {
    if (!listed.has(revision)) return false;
  }
  // An item that was there before may have been another one until it was overwritten.
  const isOverwritten = ({ created, lastChanged }: ItemChange): boolean =>
    lastChanged > configurationCreated && (created === undefined || created < configurationCreated);
  return !items.some(isOverwritten);
}

/**
 * Returns the revisions from which the source is asked for all changes, in order: the beginning, and the one before
 * operators first wrote a configuration, which a source with another first revision may still keep.
 */
export function pastRevisions({ configurationCreated }: ItemRevisions): readonly number[] {
  return configurationCreated !== undefined && configurationCreated > 1
    ? [0, configurationCreated - 1]
    : [0];
}

/** Returns the software versions that the changes since `afterRevision` tell of, if these are all there were. */
export function versionsOfPast(
  afterRevision: number,
  changes: readonly PublishedChange[],
): PastVersions {
  const versions: PastVersion[] = [];
  const tables: RouteTable[] = [];
  /** Servers whose entries before each change are known. */
  const knownIds = new Set<string>();
  const wasThereBefore = ({ createdRevision }: PublishedChange): boolean =>
    afterRevision > 0 && (createdRevision === undefined || createdRevision <= afterRevision);
  for (const change of changes) {
    if (change.kind === 'put' && change.item.kind === 'routes') {
      tables.push(change.item.table);
    } else if (change.kind === 'put' && change.item.kind === 'server') {
      const { serverId, service, softwareVersion } = change.item.announcement;
      if (!knownIds.has(serverId) && wasThereBefore(change)) {
        return { kind: 'incomplete', serverId };
      }
      knownIds.add(serverId);
      versions.push({ service, softwareVersion });
    } else if (change.kind === 'unreadable' && change.item.serverId !== undefined) {
      const { serverId } = change.item;
      if (!knownIds.has(serverId) && afterRevision > 0) return { kind: 'incomplete', serverId };
      knownIds.add(serverId);
    } else if (change.kind === 'serverGone' && !knownIds.has(change.serverId)) {
      return { kind: 'incomplete', serverId: change.serverId };
    }
  }
  return { kind: 'all', versions, tables };
}
