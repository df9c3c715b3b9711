import type { SimProcess } from './process';
import type { World } from './world';

/** One run of a call, as recorded by the application. */
export interface LedgerLine {
  readonly idempotencyKey: string;
  readonly body: string;
  readonly region: string;
  readonly atMs: number;
}

/** Answer of the application. */
export type ServerReply =
  | { readonly kind: 'answer'; readonly text: string }
  | { readonly kind: 'refused'; readonly status: number }
  | { readonly kind: 'reset' };

/** A fake application that places orders and has no idempotency keys. */
export interface OrderServer {
  readonly process: SimProcess;
  /** Receives a call; `reply` may be called late or never. */
  receive(idempotencyKey: string, body: string, reply: (reply: ServerReply) => void): void;
}

/** Status that means "not run" according to the configuration. */
export const NOT_RUN_STATUS = 429;

/** Duration of an order, ms. */
const RUN_MS = [1, 400] as const;

/** Creates an application that records its runs in `ledger`; `trouble` is the share of calls that fail. */
export function createOrderServer(
  world: World,
  process: SimProcess,
  ledger: LedgerLine[],
  trouble: number,
): OrderServer {
  const run = (idempotencyKey: string, body: string): string => {
    const line = { idempotencyKey, body, region: process.region, atMs: world.clock.monotonicMs() };
    ledger.push(line);
    world.note(`${process.name} RUNS ${body} under ${idempotencyKey}`);
    return `${body} has number ${ledger.length}`;
  };

  return {
    process,
    receive(idempotencyKey, body, reply) {
      if (world.chance(trouble)) {
        const what = world.pick(['refuse', 'crash before', 'crash after', 'silent'] as const);
        world.note(`${process.name} goes wrong: ${what} (${body})`);
        if (what === 'refuse') reply({ kind: 'refused', status: NOT_RUN_STATUS });
        if (what === 'crash before') reply({ kind: 'reset' });
        if (what === 'crash after' || what === 'silent') run(idempotencyKey, body);
        if (what === 'crash after') reply({ kind: 'reset' });
        return;
      }
      const atMs = world.clock.monotonicMs() + world.between(...RUN_MS);
      process.clock.schedule(atMs, () => {
        reply({ kind: 'answer', text: run(idempotencyKey, body) });
      });
    },
  };
}
