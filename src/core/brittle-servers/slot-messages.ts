import { z } from 'zod';
import { parseJsonText } from '../json-text';

/** Schema of the messages between instances of a region about slots of brittle servers. */
const messageSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('slotAsk'),
    /** Address of the instance that asks. */
    address: z.string(),
    server: z.string(),
    leaseId: z.string(),
    slots: z.int().min(1),
  }),
  z.object({ kind: z.literal('slotAnswer'), leaseId: z.string(), isGranted: z.boolean() }),
  z.object({
    kind: z.literal('slotRelease'),
    server: z.string(),
    leaseId: z.string(),
    wasRejected: z.boolean(),
  }),
  z.object({
    kind: z.literal('slotsHeld'),
    holderId: z.string(),
    server: z.string(),
    leaseIds: z.array(z.string()),
    askedIds: z.array(z.string()),
  }),
]);

/** A message about slots. */
export type SlotMessage = z.output<typeof messageSchema>;

/** Serializes a message to text. */
export function serializeSlotMessage(message: SlotMessage): string {
  return JSON.stringify(message);
}

/** Parses a message; undefined if the text is not a valid one. */
export function parseSlotMessage(text: string): SlotMessage | undefined {
  return parseJsonText(messageSchema, text);
}
