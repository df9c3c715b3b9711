import { createHash } from 'node:crypto';
import type { GatewayRequest } from '../serving/types';
import type { EngineDemand, PrefixBlock } from '../work';

/** Bytes of a JSON body per prompt token, for English text. */
const BYTES_PER_TOKEN = 4;

/**
 * Lengths of the prompt prefixes that are distinguished, bytes. Engines cache whole blocks, and doubling is fine
 * enough.
 */
const PREFIX_LENGTHS_BYTES = [1_024, 2_048, 4_096, 8_192, 16_384, 32_768, 65_536];

const PROMPT_FIELDS = ['"messages"', '"prompt"'];
const LIMIT_FIELDS = ['"max_completion_tokens"', '"max_tokens"'];
const MODEL_FIELD = '"model"';

/** Number of bytes after a field name in which its value is searched for. */
const VALUE_WINDOW_BYTES = 160;

const NUMBER_VALUE = /^\s*:\s*(\d+)/;
const TEXT_VALUE = /^\s*:\s*"([^"]*)"/;

function valueAfter(body: Buffer, field: string, pattern: RegExp): string | undefined {
  const at = body.lastIndexOf(field);
  if (at === -1) return undefined;
  const from = at + field.length;
  return pattern.exec(body.toString('latin1', from, from + VALUE_WINDOW_BYTES))?.[1];
}

function promptStart(body: Buffer): number {
  const found = PROMPT_FIELDS.map((field) => body.indexOf(field)).filter((at) => at !== -1);
  return found.length === 0 ? 0 : Math.min(...found);
}

/**
 * Returns digests of the start of the prompt, from short to long. The digests include the model, since the caches
 * of two adapters share nothing.
 */
function prefixesOf(body: Buffer, fromByte: number): readonly PrefixBlock[] {
  const prompt = body.subarray(fromByte);
  const hash = createHash('sha1').update(valueAfter(body, MODEL_FIELD, TEXT_VALUE) ?? '');
  const blocks: PrefixBlock[] = [];
  let hashedBytes = 0;
  for (const lengthBytes of PREFIX_LENGTHS_BYTES) {
    if (lengthBytes > prompt.length) break;
    hash.update(prompt.subarray(hashedBytes, lengthBytes));
    hashedBytes = lengthBytes;
    const key = hash.copy().digest('base64');
    blocks.push({ key, tokens: Math.floor(lengthBytes / BYTES_PER_TOKEN) });
  }
  return blocks;
}

/**
 * Estimates the size of a request to an engine from its bytes, without parsing it as JSON. `assumedOutputTokens`
 * applies where the request states no limit.
 */
export function readDemand(
  request: Pick<GatewayRequest, 'body'>,
  assumedOutputTokens: number,
): EngineDemand {
  const { buffer, byteOffset, byteLength } = request.body;
  const body = Buffer.from(buffer, byteOffset, byteLength);
  const stated = LIMIT_FIELDS.map((field) => valueAfter(body, field, NUMBER_VALUE)).find(
    (value) => value !== undefined,
  );
  return {
    promptTokens: Math.ceil(body.length / BYTES_PER_TOKEN),
    maxOutputTokens: stated === undefined ? assumedOutputTokens : Number(stated),
    prefixes: prefixesOf(body, promptStart(body)),
  };
}
