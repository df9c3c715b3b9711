import { Agent, request as httpRequest } from 'node:http';

/** A request for a stream whose prompt consists of parts. */
export interface PromptRequest {
  /** `IP:PORT` */
  readonly address: string;
  readonly requestId: string;
  /** Parts of the prompt, the last of which no other request should have. */
  readonly parts: readonly string[];
  readonly outputTokens: number;
  readonly deadlineMs: number;
  readonly apiKey?: string;
}

/** Answer as its caller received it, as far as it came. */
export interface PromptAnswer {
  /** Undefined if no answer began. */
  readonly status: number | undefined;
  readonly text: string;
}

const TOKENS_PER_PART = 100;

/** Asks for a stream over a connection of its own; never rejects. */
export function askWithParts(request: PromptRequest): Promise<PromptAnswer> {
  const { requestId, outputTokens, deadlineMs, apiKey } = request;
  const [host = '', port = ''] = request.address.split(':');
  const parts = request.parts.map((part) => `${part}:${TOKENS_PER_PART}`);
  const agent = new Agent();
  return new Promise((resolve) => {
    let status: number | undefined;
    let text = '';
    const end = () => {
      agent.destroy();
      resolve({ status, text });
    };
    const outgoing = httpRequest(
      {
        host,
        port,
        agent,
        method: 'POST',
        path: '/chat/1',
        headers: {
          host: 'kits.example',
          'x-request-id': requestId,
          ...(apiKey === undefined ? {} : { 'x-api-key': apiKey }),
          'x-deadline-ms': String(deadlineMs),
          'x-token-count': `${parts.length * TOKENS_PER_PART},${outputTokens}`,
          'x-prefix-hash': parts.join(','),
        },
      },
      (incoming) => {
        status = incoming.statusCode;
        incoming.on('data', (chunk: Buffer) => {
          text += chunk.toString();
        });
        incoming.on('error', end);
        incoming.on('end', end);
      },
    );
    outgoing.on('error', end);
    outgoing.on('close', end);
    outgoing.setTimeout(2 * deadlineMs, () => outgoing.destroy());
    outgoing.end(requestId);
  });
}
