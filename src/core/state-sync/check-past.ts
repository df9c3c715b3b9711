import { sleepUntil } from '../clock';
import type { Clock } from '../clock';
import { errorText } from '../errors';
import type { Logger } from '../events';
import type { RouteTable } from '../host-routes';
import type { ServerRegistry } from '../server-registry';
import { STATE_SYNC_EVENTS } from './events';
import { listsEveryChange, pastRevisions, versionsOfPast } from './published-past';
import type { PublishedChange, PublishedChanges, PublishedState, StateSource } from './types';

/** Options of {@link checkPast}. */
export interface CheckPastOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly source: Pick<StateSource, 'readPast'>;
  readonly servers: Pick<ServerRegistry, 'recordVersion'>;
  /** Called with each route table that was in force before. */
  readonly onPastRoutes?: (table: RouteTable) => void;
}

/** Maximum answers in which the changes of the past are read. */
const MAX_ANSWERS = 20;
/** Pause after a read of the past that failed, ms. */
const RETRY_PAUSE_MS = 250;
/** Maximum reads of the past that fail before it counts as unknown. */
const MAX_FAILURES = 20;

type ReadPast = NonNullable<StateSource['readPast']>;

/** Reads all changes after a revision up to those of a complete read. */
async function readChanges(
  readPast: ReadPast,
  afterRevision: number,
  { position }: PublishedState,
  signal: AbortSignal,
): Promise<PublishedChanges> {
  const changes: PublishedChange[] = [];
  let reached = { ...position, revision: afterRevision };
  for (
    let answers = 0;
    answers < MAX_ANSWERS && reached.revision < position.revision;
    answers += 1
  ) {
    const update = await readPast(reached, signal);
    if (update.kind === 'historyGone') return update;
    changes.push(...update.changes);
    reached = update.position;
  }
  if (reached.revision < position.revision) return { kind: 'historyGone' };
  return { kind: 'changes', position: reached, changes };
}

/**
 * Finds out whether the source proves which software versions have served before a complete read, and records those in
 * `servers`. Returns whether all are known. Memory of them is lost with the processes; what the source has kept is not.
 */
export async function checkPast(
  { clock, logger, source, servers, onPastRoutes }: CheckPastOptions,
  state: PublishedState,
  signal: AbortSignal,
): Promise<boolean> {
  const { position, revisions } = state;
  if (listsEveryChange(state)) {
    logger.event(STATE_SYNC_EVENTS.pastChecked, { ...position, evidence: 'everyChangeListed' });
    return true;
  }
  const readPast = source.readPast?.bind(source);
  if (readPast === undefined || revisions === undefined) {
    logger.event(STATE_SYNC_EVENTS.pastChecked, { ...position, evidence: 'none' });
    return false;
  }
  const remaining = [...pastRevisions(revisions)];
  let failures = 0;
  for (let [after] = remaining; after !== undefined && !signal.aborted; [after] = remaining) {
    try {
      const past = await readChanges(readPast, after, state, signal);
      remaining.shift();
      if (past.kind === 'historyGone') continue;
      const found = versionsOfPast(after, past.changes);
      if (found.kind === 'incomplete') continue;
      for (const { service, softwareVersion } of found.versions) {
        servers.recordVersion(service, softwareVersion, clock.monotonicMs());
      }
      for (const table of found.tables) onPastRoutes?.(table);
      logger.event(STATE_SYNC_EVENTS.pastChecked, { ...position, evidence: 'history', after });
      return true;
    } catch (error) {
      failures += 1;
      if (failures === MAX_FAILURES) {
        logger.event(STATE_SYNC_EVENTS.pastChecked, {
          ...position,
          evidence: 'none',
          reason: errorText(error),
        });
        return false;
      }
      await sleepUntil(clock, clock.monotonicMs() + RETRY_PAUSE_MS, signal);
    }
  }
  logger.event(STATE_SYNC_EVENTS.pastChecked, { ...position, evidence: 'none' });
  return false;
}
