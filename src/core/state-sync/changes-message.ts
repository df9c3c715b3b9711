import { z } from 'zod';
import { positionSchema } from './position';
import { fromMessageItem, itemSchema, toMessageItem } from './snapshot-message';
import type { PublishedChange, PublishedChanges } from './types';

/** What an instance that watches the source hands on to those that follow it. */

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

/** Changes as text. */
export function writeChanges(news: Extract<PublishedChanges, { kind: 'changes' }>): string {
  return JSON.stringify({ position: news.position, changes: news.changes.map(toMessage) });
}

/** Changes from text; throws where they are none. */
export function readChanges(text: string): PublishedChanges {
  const news = changesSchema.parse(JSON.parse(text));
  return { kind: 'changes', position: news.position, changes: news.changes.map(fromMessage) };
}
