import { z } from 'zod';
import { parseJsonText } from '../json-text';

/** Schema of the statement of an instance about its own links to the servers of its region. */
const messageSchema = z.object({
  kind: z.literal('linksToServers'),
  from: z.string().min(1),
  /** Whether the instance reaches no server. */
  isCut: z.boolean(),
});

/** Statement of an instance about its own links. */
export type LinkMessage = Omit<z.output<typeof messageSchema>, 'kind'>;

/** Serializes a statement to text. */
export function serializeLinkMessage(message: LinkMessage): string {
  return JSON.stringify({ kind: 'linksToServers', ...message });
}

/** Parses a statement; undefined if the text is not a valid one. */
export function parseLinkMessage(text: string): LinkMessage | undefined {
  return parseJsonText(messageSchema, text);
}
