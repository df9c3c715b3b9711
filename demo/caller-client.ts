import OpenAI from 'openai';
import { request } from 'undici';
import type { InstanceProcess } from './instance-process';

/** What a caller of the demonstration does, with libraries that any caller has. */

/** Keys of the sample callers; the samples hold their digests. */
export function sampleKey(callerId: string): string {
  return `sample-key-${callerId}`;
}

/** One answer as a caller sees it. */
export interface CallerAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly text: string;
}

/** A plain HTTP request. */
export interface CallerRequest {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly key: string;
  readonly body?: string;
  readonly headers?: Readonly<Record<string, string>>;
}

/** Sends one request to an instance. */
export async function send(
  instance: InstanceProcess,
  { method, path, key, body, headers }: CallerRequest,
): Promise<CallerAnswer> {
  const response = await request(`http://${instance.callerAddress}${path}`, {
    method,
    headers: { authorization: `Bearer ${key}`, ...headers },
    ...(body === undefined ? {} : { body }),
  });
  return {
    status: response.statusCode,
    headers: response.headers,
    text: await response.body.text(),
  };
}

/** A streamed chat answer, read by the OpenAI client library. */
export async function streamChat(
  address: string,
  key: string,
  model: string,
  content: string,
): Promise<string> {
  const client = new OpenAI({ apiKey: key, baseURL: `http://${address}/v1`, maxRetries: 0 });
  const stream = await client.chat.completions.create({
    model,
    messages: [{ role: 'user', content }],
    stream: true,
  });
  let text = '';
  for await (const part of stream) text += part.choices[0]?.delta.content ?? '';
  return text;
}
