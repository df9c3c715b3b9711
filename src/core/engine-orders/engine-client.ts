import { z } from 'zod';
import { createBoundedAgent } from '../answers/bounded-agent';
import { ERRORS, errorText, gatewayError } from '../errors';
import type { EngineOrder, EngineSight, OrderAnswer, PlacedEngine } from './types';

/** How engines are looked at and ordered about. */
export interface EngineClient {
  /** What the engine has now; rejects when it does not tell. */
  look(engine: PlacedEngine): Promise<EngineSight>;
  /** Gives one order; never rejects. */
  send(engine: PlacedEngine, order: EngineOrder, fencingNumber: number): Promise<OrderAnswer>;
}

/** Header of an order with its fencing number, and of every answer with the highest that the engine has seen. */
export const FENCING_HEADER = 'x-fencing-number';
/** Header of `GET /v1/models` with the engine's role. */
export const ROLE_HEADER = 'x-engine-role';

/** Longest wait for an answer. An order is acknowledged before its load has ended. */
const ANSWER_TIMEOUT_MS = 2_000;
/** Maximum answer, bytes: a list of tens of thousands of models and adapters. */
const MAX_ANSWER_BYTES = 16_777_216;
const FENCED_STATUS = 409;

const roleSchema = z.enum(['mixed', 'prefill', 'decode']).catch('mixed');

const modelListSchema = z.object({
  data: z.array(
    z.object({
      id: z.string(),
      x_kind: z.enum(['model', 'adapter']).default('model'),
      x_version: z.string().default(''),
      x_state: z.enum(['loading', 'loaded']).default('loaded'),
      x_load_age_ms: z.number().optional(),
    }),
  ),
});

interface OrderCall {
  readonly path: string;
  readonly body: object;
}

function toCall(order: EngineOrder): OrderCall {
  switch (order.kind) {
    case 'load': {
      const { name, kind, version, source } = order.model;
      if (kind === 'adapter') {
        const body = { lora_name: name, lora_path: source, x_version: version };
        return { path: '/v1/load_lora_adapter', body };
      }
      return { path: '/v1/load_model', body: { model: name, source, x_version: version } };
    }
    case 'unload':
      return order.modelKind === 'adapter'
        ? { path: '/v1/unload_lora_adapter', body: { lora_name: order.name } }
        : { path: '/v1/unload_model', body: { model: order.name } };
    case 'setRole':
      return { path: '/v1/role', body: { role: order.role } };
    default:
      return order satisfies never;
  }
}

function toNumber(header: string | string[] | undefined): number | undefined {
  if (typeof header !== 'string' || !/^\d+$/.test(header)) return undefined;
  return Number(header);
}

/** A client over HTTP: the adapter calls are those of vLLM, the others follow them. */
export function createEngineClient(): EngineClient & AsyncDisposable {
  const agent = createBoundedAgent(MAX_ANSWER_BYTES, { pipelining: 1 });

  return {
    async look({ engineId, address }) {
      const response = await agent.request({
        origin: `http://${address}`,
        path: '/v1/models',
        method: 'GET',
        signal: AbortSignal.timeout(ANSWER_TIMEOUT_MS),
      });
      if (response.statusCode !== 200) {
        await response.body.dump();
        const reason = `status ${response.statusCode}`;
        const place = { step: 'look-at-engine', peer: engineId };
        throw gatewayError(ERRORS.platformUnavailable, ['Models of an engine', reason], place);
      }
      const { data } = modelListSchema.parse(await response.body.json());
      return {
        engineId,
        role: roleSchema.parse(response.headers[ROLE_HEADER]),
        fencingNumber: toNumber(response.headers[FENCING_HEADER]),
        models: data.map((entry) => ({
          name: entry.id,
          kind: entry.x_kind,
          version: entry.x_version,
          state: entry.x_state,
          loadAgeMs: entry.x_load_age_ms,
        })),
      };
    },
    async send({ address }, order, fencingNumber) {
      const { path, body } = toCall(order);
      try {
        const response = await agent.request({
          origin: `http://${address}`,
          path,
          method: 'POST',
          headers: {
            'content-type': 'application/json',
            [FENCING_HEADER]: String(fencingNumber),
          },
          body: JSON.stringify(body),
          signal: AbortSignal.timeout(ANSWER_TIMEOUT_MS),
        });
        await response.body.dump();
        if (response.statusCode === FENCED_STATUS) {
          return { kind: 'fenced', fencingNumber: toNumber(response.headers[FENCING_HEADER]) };
        }
        if (response.statusCode < 300) return { kind: 'accepted' };
        return { kind: 'failed', reason: `status ${response.statusCode}` };
      } catch (error) {
        return { kind: 'failed', reason: errorText(error) };
      }
    },
    [Symbol.asyncDispose]: () => agent.destroy(),
  };
}
