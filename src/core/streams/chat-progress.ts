import { z } from 'zod';
import { parseJsonText } from '../json-text';

/** How far a streamed chat answer has come, as its caller has it. */

const chunkSchema = z.looseObject({
  id: z.string(),
  created: z.number(),
  choices: z.array(
    z.looseObject({
      index: z.literal(0),
      delta: z.strictObject({
        role: z.string().optional(),
        content: z.string().nullable().optional(),
      }),
      finish_reason: z.string().nullable().optional(),
      logprobs: z.null().optional(),
    }),
  ),
  usage: z.null().optional(),
});

type ChatChunk = z.output<typeof chunkSchema>;

/** What has been passed on of one answer. */
export interface ChatProgress {
  /** Whether a continuation of the text alone would make the answer whole. */
  readonly isResumable: boolean;
  readonly text: string;
  /** Events with text, which is the number of tokens where the engine sends one in each. */
  readonly textEvents: number;
  readonly hasFinished: boolean;
  /** Takes in the data of an event; returns it as it should be passed on, or undefined to drop it. */
  take(data: string, isContinuation: boolean): string | undefined;
}

function parseChunk(data: string): ChatChunk | undefined {
  return parseJsonText(chunkSchema, data);
}

/** Nothing passed on yet. */
export function createChatProgress(): ChatProgress {
  let first: ChatChunk | undefined;
  let isResumable = true;
  let text = '';
  let textEvents = 0;
  let hasFinished = false;

  const note = (chunk: ChatChunk) => {
    const [choice] = chunk.choices;
    const content = choice?.delta.content ?? '';
    text += content;
    if (content !== '') textEvents += 1;
    if (choice?.finish_reason != null) hasFinished = true;
  };

  return {
    get isResumable() {
      return isResumable && !hasFinished;
    },
    get text() {
      return text;
    },
    get textEvents() {
      return textEvents;
    },
    get hasFinished() {
      return hasFinished;
    },
    take(data, isContinuation) {
      const chunk = parseChunk(data);
      if (chunk === undefined) {
        // Tool calls, probabilities, several choices: a continuation would have to know more than the text.
        isResumable = false;
        return data;
      }
      if (isContinuation && first !== undefined) {
        const [choice] = chunk.choices;
        const saysNothing = (choice?.delta.content ?? '') === '' && choice?.finish_reason == null;
        if (saysNothing) return undefined;
        note(chunk);
        return JSON.stringify({ ...chunk, id: first.id, created: first.created });
      }
      first ??= chunk;
      note(chunk);
      return data;
    },
  };
}
