import { z } from 'zod';
import { parseJsonText } from '../json-text';

/** Schema of the messages between instances of a region about servers that have stated their departure. */
const messageSchema = z.object({
  kind: z.literal('serversLeaving'),
  /** Ids of server incarnations. */
  servers: z.array(z.string()),
});

/** A message about servers that are leaving. */
export type DepartureMessage = z.output<typeof messageSchema>;

/** Serializes a message to text. */
export function serializeDepartureMessage(message: DepartureMessage): string {
  return JSON.stringify(message);
}

/** Parses a message; undefined if the text is not a valid one. */
export function parseDepartureMessage(text: string): DepartureMessage | undefined {
  return parseJsonText(messageSchema, text);
}
