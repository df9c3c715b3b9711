import { z } from 'zod';
import type { GatewayRequest } from '../serving/types';
import type { ChatProgress } from './chat-progress';

/** The parts of a chat request on which a continuation depends; anything that it can't honour fails the schema. */
const bodySchema = z.looseObject({
  stream: z.literal(true),
  messages: z.array(z.looseObject({ role: z.string() })).min(1),
  max_tokens: z.int().positive().nullish(),
  max_completion_tokens: z.int().positive().nullish(),
  n: z.literal(1).nullish(),
  tools: z.undefined().optional(),
  functions: z.undefined().optional(),
  logprobs: z.literal(false).nullish(),
  response_format: z.undefined().optional(),
  stream_options: z.undefined().optional(),
  stop: z.undefined().optional(),
  continue_final_message: z.literal(false).nullish(),
});

const CHAT_PATH = '/v1/chat/completions';

function readBody(body: Uint8Array) {
  try {
    return bodySchema.safeParse(JSON.parse(Buffer.from(body).toString('utf8'))).data;
  } catch {
    return undefined;
  }
}

function leftOf(limit: number | null | undefined, used: number): number | null | undefined {
  return limit == null ? limit : limit - used;
}

/**
 * The request that has an engine go on after `progress.text`, by the interface that vLLM publishes for chat
 * completions: the text so far as the last assistant message, with `continue_final_message` set and
 * `add_generation_prompt` unset. The engine's answer starts with the next character, so that nothing is lost or
 * doubled. Undefined where the answer can't be continued that way.
 */
export function continueRequest(
  request: GatewayRequest,
  progress: ChatProgress,
): GatewayRequest | undefined {
  if (request.path !== CHAT_PATH || !progress.isResumable) return undefined;
  const body = readBody(request.body);
  if (body === undefined) return undefined;
  const maxTokens = leftOf(body.max_tokens, progress.textEvents);
  const maxCompletionTokens = leftOf(body.max_completion_tokens, progress.textEvents);
  if ((maxTokens ?? 1) < 1 || (maxCompletionTokens ?? 1) < 1) return undefined;
  // An answer of which no text has come yet is begun anew.
  const continuation =
    progress.text === ''
      ? {}
      : {
          messages: [...body.messages, { role: 'assistant', content: progress.text }],
          continue_final_message: true,
          add_generation_prompt: false,
          ...(maxTokens == null ? {} : { max_tokens: maxTokens }),
          ...(maxCompletionTokens == null ? {} : { max_completion_tokens: maxCompletionTokens }),
        };
  const written = Buffer.from(JSON.stringify({ ...body, ...continuation }));
  return { ...request, body: written, askedBody: request.body };
}
