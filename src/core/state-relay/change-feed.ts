import type { Position, PublishedChange, PublishedChanges } from '../state-sync';

/** The latest changes of what is published, for instances that follow this one. */
export interface ChangeFeed {
  /** Begins anew after everything was read as of `position`: what came before it is not known here. */
  restart(position: Position): void;
  /** Adds what a watch after `after` has brought. */
  add(after: Position, news: PublishedChanges): void;
  /** Changes after `position`; without any where there is nothing newer. */
  since(position: Position): PublishedChanges;
  /** Era of what is known here; undefined before anything was read. */
  era(): number | undefined;
  /** Calls back when there is something newer. */
  onNews(listener: () => void): Disposable;
}

/** Changes that are kept: those of several seconds in which all servers of a large fleet change. */
const MOST_KEPT = 4_000;

/** A feed that knows of nothing yet. */
export function createChangeFeed(): ChangeFeed {
  let kept: PublishedChange[] = [];
  /** All changes after this revision are kept; undefined before anything was read. */
  let beginsAfter: number | undefined;
  let upTo = 0;
  /** Era of all revisions here. */
  let era: number | undefined;
  const listeners = new Set<() => void>();
  const tell = () => {
    for (const listener of [...listeners]) listener();
  };

  const dropOldest = (): void => {
    const surplus = kept.length - MOST_KEPT;
    if (surplus <= 0) return;
    beginsAfter = kept[surplus - 1]?.revision;
    kept = kept.slice(surplus);
  };

  return {
    restart(position) {
      kept = [];
      beginsAfter = position.revision;
      upTo = position.revision;
      era = position.era;
      // Whoever waits for news has to begin anew as well.
      tell();
    },
    add(after, news) {
      if (news.kind === 'historyGone') return;
      // A gap between what is kept and what came would be passed over by those who follow.
      if (beginsAfter === undefined || after.era !== era || after.revision > upTo) {
        kept = [];
        beginsAfter = after.revision;
        upTo = after.revision;
        era = after.era;
      }
      const newer = news.changes.filter(({ revision }) => revision > upTo);
      kept.push(...newer);
      upTo = Math.max(upTo, news.position.revision);
      dropOldest();
      if (newer.length > 0) tell();
    },
    since(position) {
      const { revision } = position;
      const isKept = beginsAfter !== undefined && revision >= beginsAfter && position.era === era;
      if (!isKept) return { kind: 'historyGone' };
      const changes = kept.filter((change) => change.revision > revision);
      const newest = { era: position.era, revision: Math.max(revision, upTo) };
      return { kind: 'changes', position: newest, changes };
    },
    era: () => era,
    onNews(listener) {
      listeners.add(listener);
      return {
        [Symbol.dispose]() {
          listeners.delete(listener);
        },
      };
    },
  };
}
