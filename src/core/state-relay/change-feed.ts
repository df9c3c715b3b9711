import type { PublishedChange, PublishedChanges } from '../state-sync';

/** The latest changes of what is published, for instances that follow this one. */
export interface ChangeFeed {
  /** Begins anew after everything was read as of `revision`: what came before it is not known here. */
  restart(revision: number): void;
  /** Adds what a watch after `after` has brought. */
  add(after: number, news: PublishedChanges): void;
  /** Changes after `revision`; without any where there is nothing newer. */
  since(revision: number): PublishedChanges;
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
    restart(revision) {
      kept = [];
      beginsAfter = revision;
      upTo = revision;
      // Whoever waits for news has to begin anew as well.
      tell();
    },
    add(after, news) {
      if (news.kind === 'historyGone') return;
      // A gap between what is kept and what came would be passed over by those who follow.
      if (beginsAfter === undefined || after > upTo) {
        kept = [];
        beginsAfter = after;
      }
      const newer = news.changes.filter(({ revision }) => revision > upTo);
      kept.push(...newer);
      upTo = Math.max(upTo, after, news.revision);
      dropOldest();
      if (newer.length > 0) tell();
    },
    since(revision) {
      if (beginsAfter === undefined || revision < beginsAfter) return { kind: 'historyGone' };
      const changes = kept.filter((change) => change.revision > revision);
      return { kind: 'changes', revision: Math.max(revision, upTo), changes };
    },
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
