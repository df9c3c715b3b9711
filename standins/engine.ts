import type { IncomingMessage, ServerResponse } from 'node:http';
import { answerOrder, createEngineModels } from './engine-orders';
import type { EngineModels } from './engine-orders';
import { createLedger } from './ledger';
import type { Ledger } from './ledger';
import { openStandIn, readAll, sendJson } from './listen';
import type { StandIn } from './listen';
import { createWeightStore } from './weight-store';

/** Behaviour of a stand-in engine; may be changed while it runs. */
export interface EngineBehaviour {
  /** Number of tokens in each answer. */
  answerTokens: number;
  /** Delay before each token, ms. */
  tokenIntervalMs: number;
  /** Drops the connection after this many tokens. */
  dropAfterTokens: number | undefined;
  /** Sends nothing more after this many tokens, but keeps the connection open. */
  silentAfterTokens: number | undefined;
  /** Result of health checks; requests are served regardless of it. */
  health: 'up' | 'draining' | 'failing';
}

/** A stand-in engine that speaks the OpenAI HTTP API. */
export interface EngineStandIn extends StandIn {
  readonly behaviour: EngineBehaviour;
  readonly ledger: Ledger;
  /** Models that have been loaded by orders. */
  readonly models: EngineModels;
  /** Number of requests whose caller disconnected before the end. */
  cancelledCount(): number;
}

const HEALTH_STATUSES = { up: 200, draining: 503, failing: 500 } as const;

interface CompletionBody {
  model: string;
  stream?: boolean;
  messages?: { role: string; content: string }[];
  /** Whether the answer continues the last message, as in the API of vLLM. */
  continue_final_message?: boolean;
}

/** Returns the number of the first token of an answer. */
function firstToken({ messages = [], continue_final_message: continues }: CompletionBody): number {
  if (continues !== true) return 0;
  return (messages.at(-1)?.content.match(/t\d+ /g) ?? []).length;
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

function completion(id: string, body: CompletionBody, tokens: number) {
  const content = Array.from({ length: tokens }, (_unused, index) => `t${index} `).join('');
  return {
    id,
    object: 'chat.completion',
    created: 0,
    model: body.model,
    choices: [{ index: 0, message: { role: 'assistant', content }, finish_reason: 'stop' }],
    usage: { prompt_tokens: 1, completion_tokens: tokens, total_tokens: tokens + 1 },
  };
}

function chunk(id: string, body: CompletionBody, content: string, finish: 'stop' | null): string {
  const value = {
    id,
    object: 'chat.completion.chunk',
    created: 0,
    model: body.model,
    choices: [{ index: 0, delta: { content }, finish_reason: finish }],
  };
  return `data: ${JSON.stringify(value)}\n\n`;
}

async function stream(
  response: ServerResponse,
  id: string,
  body: CompletionBody,
  behaviour: EngineBehaviour,
): Promise<void> {
  response.writeHead(200, { 'content-type': 'text/event-stream' });
  response.write(chunk(id, body, '', null));
  for (let token = firstToken(body); token < behaviour.answerTokens; token += 1) {
    if (behaviour.tokenIntervalMs > 0) await sleep(behaviour.tokenIntervalMs);
    if (response.destroyed) return;
    if (token === behaviour.dropAfterTokens) {
      response.destroy();
      return;
    }
    if (token === behaviour.silentAfterTokens) return;
    response.write(chunk(id, body, `t${token} `, null));
  }
  response.write(chunk(id, body, '', 'stop'));
  response.end('data: [DONE]\n\n');
}

/** Opens a stand-in engine. */
export async function openEngineStandIn(
  behaviour: Partial<EngineBehaviour> = {},
  port = 0,
): Promise<EngineStandIn> {
  const ledger = createLedger();
  const models = createEngineModels({
    fencing: 'refuses',
    slots: 4,
    loadMs: 50,
    weightStore: createWeightStore(),
  });
  const current: EngineBehaviour = {
    answerTokens: 8,
    tokenIntervalMs: 0,
    dropAfterTokens: undefined,
    silentAfterTokens: undefined,
    health: 'up',
    ...behaviour,
  };
  let cancelled = 0;

  const handler = async (incoming: IncomingMessage, response: ServerResponse): Promise<void> => {
    if (incoming.url === '/health') {
      sendJson(response, HEALTH_STATUSES[current.health], {});
      return;
    }
    if (await answerOrder(models, incoming, response)) return;
    const bodyText = (await readAll(incoming)).toString('utf8');
    const requestId = String(incoming.headers['x-request-id']);
    ledger.entries.push({
      requestId,
      idempotencyKey: undefined,
      method: incoming.method ?? '',
      path: incoming.url ?? '',
      bodyText,
    });
    response.on('close', () => {
      if (!response.writableFinished) cancelled += 1;
    });
    const body = JSON.parse(bodyText) as CompletionBody;
    const id = `cmpl-${requestId}`;
    if (body.stream === true) await stream(response, id, body, current);
    else sendJson(response, 200, completion(id, body, current.answerTokens));
  };

  const standIn = await openStandIn(handler, port);
  return { ...standIn, behaviour: current, ledger, models, cancelledCount: () => cancelled };
}
