import OpenAI from 'openai';
import { request } from 'undici';
import type { InstanceProcess } from './instance-process';

/** Requests of the demonstration's callers, made with common libraries. */

/** Keys of the sample callers; the samples contain only their digests. */
export function sampleKey(callerId: string): string {
  return `sample-key-${callerId}`;
}

/** An answer as a caller receives it. */
export interface CallerAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly text: string;
}

/** A request over HTTP. */
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
  const response = await request(`http://${instance.addresses.callerAddress}${path}`, {
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

/** Reads a streamed chat answer with the OpenAI client library. */
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
