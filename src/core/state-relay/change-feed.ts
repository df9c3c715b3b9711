import type { Position, PublishedChange, PublishedChanges } from '../state-sync';

/** The latest changes of published state, for instances that follow this one. */
export interface ChangeFeed {
  /** Starts over after the complete state was read as of `position`; changes before it are not known here. */
  restart(position: Position): void;
  /** Adds the result of a watch after `after`. */
  add(after: Position, update: PublishedChanges): void;
  /** Returns the changes after `position`, which may be none; `historyGone` if not all of them are kept. */
  since(position: Position): PublishedChanges;
  /** Returns the era of the known changes; undefined before the first read. */
  era(): number | undefined;
  /** Calls the listener after newer changes were added and after each restart. */
  onChanges(listener: () => void): Disposable;
}

/** Maximum number of kept changes: those of several seconds in which all servers of a large fleet change. */
const MAX_KEPT_CHANGES = 4_000;

/** Creates an empty feed. */
export function createChangeFeed(): ChangeFeed {
  let kept: PublishedChange[] = [];
  /** All changes after this revision are kept; undefined before the first read. */
  let keptAfterRevision: number | undefined;
  let latestRevision = 0;
  /** Era of all kept revisions. */
  let era: number | undefined;
  const listeners = new Set<() => void>();
  const notifyListeners = () => {
    for (const listener of [...listeners]) listener();
  };

  const dropOldest = (): void => {
    const excess = kept.length - MAX_KEPT_CHANGES;
    if (excess <= 0) return;
    keptAfterRevision = kept[excess - 1]?.revision;
    kept = kept.slice(excess);
  };

  return {
    restart(position) {
      kept = [];
      keptAfterRevision = position.revision;
      latestRevision = position.revision;
      era = position.era;
      // Waiting followers have to start over as well.
      notifyListeners();
    },
    add(after, update) {
      if (update.kind === 'historyGone') return;
      // Followers would miss the changes in a gap between the kept changes and the new ones.
      if (keptAfterRevision === undefined || after.era !== era || after.revision > latestRevision) {
        kept = [];
        keptAfterRevision = after.revision;
        latestRevision = after.revision;
        era = after.era;
      }
      const newer = update.changes.filter(({ revision }) => revision > latestRevision);
      kept.push(...newer);
      latestRevision = Math.max(latestRevision, update.position.revision);
      dropOldest();
      if (newer.length > 0) notifyListeners();
    },
    since(position) {
      const { revision } = position;
      const isKept =
        keptAfterRevision !== undefined && revision >= keptAfterRevision && position.era === era;
      if (!isKept) return { kind: 'historyGone' };
      const changes = kept.filter((change) => change.revision > revision);
      const newest = { era: position.era, revision: Math.max(revision, latestRevision) };
      return { kind: 'changes', position: newest, changes };
    },
    era: () => era,
    onChanges(listener) {
      listeners.add(listener);
      return {
        [Symbol.dispose]() {
          listeners.delete(listener);
        },
      };
    },
  };
}
