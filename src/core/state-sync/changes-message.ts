import { z } from 'zod';
import { positionSchema } from './position';
import { fromMessageItem, itemSchema, toMessageItem } from './snapshot-message';
import type { PublishedChange, PublishedChanges } from './types';

/** Messages in which an instance that watches the source forwards changes to its followers. */

const revision = z.number();

const changeSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('put'), revision, item: itemSchema }),
  z.object({ kind: z.literal('serverGone'), revision, serverId: z.string() }),
  z.object({ kind: z.literal('evacuationEnded'), revision, failureDomain: z.string() }),
  z.object({
    kind: z.literal('unreadable'),
    revision,
    item: z.object({ key: z.string(), serverId: z.string().optional(), reason: z.string() }),
  }),
]);

const changesSchema = z.object({ position: positionSchema, changes: z.array(changeSchema) });

function fromMessage(change: z.output<typeof changeSchema>): PublishedChange {
  switch (change.kind) {
    case 'put':
      return { ...change, item: fromMessageItem(change.item) };
    case 'unreadable':
      return { ...change, item: { ...change.item, serverId: change.item.serverId } };
    case 'serverGone':
    case 'evacuationEnded':
      return change;
    default:
      return change satisfies never;
  }
}

function toMessage(change: PublishedChange): object {
  return change.kind === 'put' ? { ...change, item: toMessageItem(change.item) } : change;
}

/** Serializes changes as JSON. */
export function serializeChanges(update: Extract<PublishedChanges, { kind: 'changes' }>): string {
  return JSON.stringify({ position: update.position, changes: update.changes.map(toMessage) });
}

/** Parses changes from JSON; throws if the text is not a valid message. */
export function parseChanges(text: string): PublishedChanges {
  const update = changesSchema.parse(JSON.parse(text));
  return { kind: 'changes', position: update.position, changes: update.changes.map(fromMessage) };
}
