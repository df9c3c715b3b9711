import type { IncomingMessage, ServerResponse } from 'node:http';
import type {
  EngineOrder,
  EngineSight,
  OrderAnswer,
  PresentModel,
} from '../src/core/engine-orders';
import { readAll, sendJson } from './listen';
import type { WeightStore } from './weight-store';

/** The models that a stand-in engine has loaded, and the orders by which they are changed. The caller passes the time in. */
export interface EngineModels {
  sight(engineId: string, nowMs: number): EngineSight;
  take(order: EngineOrder, fencingNumber: number, nowMs: number): OrderAnswer;
  /** Number of orders that changed something. */
  effectiveOrders(): number;
}

/** Behaviour of a stand-in engine towards orders. */
export interface EngineModelsOptions {
  /** Whether it refuses orders with an outdated fencing number; otherwise it ignores the numbers. */
  readonly fencing: 'refuses' | 'ignores';
  readonly slots: number;
  readonly loadMs: number;
  readonly weightStore: WeightStore;
}

interface HeldModel {
  readonly name: string;
  readonly kind: 'model' | 'adapter';
  readonly version: string;
  readonly loadStartedAtMs: number;
}

/** Creates an engine that has loaded no model. */
export function createEngineModels(options: EngineModelsOptions): EngineModels {
  const { fencing, slots, loadMs, weightStore } = options;
  const held = new Map<string, HeldModel>();
  let role: EngineSight['role'] = 'mixed';
  let highest: number | undefined;
  let effective = 0;

  const carryOut = (order: EngineOrder, nowMs: number): OrderAnswer => {
    switch (order.kind) {
      case 'load': {
        const { name, kind, version, source } = order.model;
        const known = held.get(name);
        if (known?.version === version) return { kind: 'accepted' };
        if (known !== undefined) return { kind: 'failed', reason: 'another version is present' };
        if (held.size >= slots) return { kind: 'failed', reason: 'no free slot' };
        weightStore.read(source, nowMs);
        held.set(name, { name, kind, version, loadStartedAtMs: nowMs });
        effective += 1;
        return { kind: 'accepted' };
      }
      case 'unload':
        if (held.delete(order.name)) effective += 1;
        return { kind: 'accepted' };
      case 'setRole':
        if (role !== order.role) effective += 1;
        role = order.role;
        return { kind: 'accepted' };
      default:
        return order satisfies never;
    }
  };

  return {
    sight: (engineId, nowMs) => ({
      engineId,
      role,
      fencingNumber: fencing === 'refuses' ? (highest ?? 0) : undefined,
      models: [...held.values()].map(({ name, kind, version, loadStartedAtMs }): PresentModel => ({
        name,
        kind,
        version,
        state: nowMs - loadStartedAtMs >= loadMs ? 'loaded' : 'loading',
        loadAgeMs: nowMs - loadStartedAtMs,
      })),
    }),
    take(order, fencingNumber, nowMs) {
      if (fencing === 'refuses') {
        if (highest !== undefined && fencingNumber < highest) {
          return { kind: 'fenced', fencingNumber: highest };
        }
        highest = fencingNumber;
      }
      return carryOut(order, nowMs);
    },
    effectiveOrders: () => effective,
  };
}

function toOrder(path: string, text: string): EngineOrder | undefined {
  const body = JSON.parse(text) as Record<string, string>;
  const name = body.lora_name ?? body.model ?? '';
  const kind = body.lora_name === undefined ? 'model' : 'adapter';
  switch (path) {
    case '/v1/load_lora_adapter':
    case '/v1/load_model': {
      const source = body.lora_path ?? body.source ?? '';
      const model = { name, kind, version: body.x_version ?? '', source } as const;
      return { kind: 'load', engineId: '', model };
    }
    case '/v1/unload_lora_adapter':
    case '/v1/unload_model':
      return { kind: 'unload', engineId: '', name, modelKind: kind };
    case '/v1/role':
      return { kind: 'setRole', engineId: '', role: body.role as EngineSight['role'] };
    default:
      return undefined;
  }
}

const ORDER_PATHS = new Set([
  '/v1/load_lora_adapter',
  '/v1/load_model',
  '/v1/unload_lora_adapter',
  '/v1/unload_model',
  '/v1/role',
]);

/** Answers a request to the order interface over HTTP; returns false if the request is for something else. */
export async function answerOrder(
  models: EngineModels,
  incoming: IncomingMessage,
  response: ServerResponse,
): Promise<boolean> {
  const path = incoming.url ?? '';
  const nowMs = performance.now();
  const { role, fencingNumber, models: present } = models.sight('', nowMs);
  response.setHeader('x-engine-role', role);
  if (fencingNumber !== undefined) response.setHeader('x-fencing-number', String(fencingNumber));
  if (path === '/v1/models') {
    const data = present.map(({ name, kind, version, state, loadAgeMs }) => ({
      id: name,
      object: 'model',
      x_kind: kind,
      x_version: version,
      x_state: state,
      x_load_age_ms: loadAgeMs,
    }));
    sendJson(response, 200, { object: 'list', data });
    return true;
  }
  if (!ORDER_PATHS.has(path)) return false;
  const order = toOrder(path, (await readAll(incoming)).toString('utf8'));
  if (order === undefined) return false;
  const number = Number(incoming.headers['x-fencing-number'] ?? 0);
  const answer = models.take(order, number, nowMs);
  const statuses = { accepted: 200, fenced: 409, failed: 400 } as const;
  sendJson(response, statuses[answer.kind], answer);
  return true;
}
