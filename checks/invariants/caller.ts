import { DEALER } from './fleet';
import type { Fleet } from './fleet';
import { createSimProcess } from './process';
import type { CallerReply } from './sim-instance';

/** Answer that a caller received, with the time. */
export interface Told {
  readonly order: string;
  /** The ticket that was presented; undefined for a first call without one. */
  readonly ticket: string | undefined;
  readonly reply: CallerReply;
  readonly atMs: number;
}

/** Timeout of a request, ms. */
const PATIENCE_MS = [300, 4_000] as const;
/** Maximum number of requests of a caller for one order. */
const MAX_REQUESTS = 10;

/**
 * Places one order like a caller that trusts the answers: while the outcome is unknown it retries with the same ticket at
 * any instance, and it places a new order only after `notRun`.
 */
export function placeOrder(
  fleet: Fleet,
  order: string,
  told: Told[],
  mayAsk: (instanceId: string) => boolean,
): void {
  const { world, instances } = fleet;
  const caller = createSimProcess(world.clock, `caller of ${order}`, 'windhoek', 1);
  let requests = 0;
  let answered = 0;

  const ask = (ticket: string | undefined): void => {
    if (requests === MAX_REQUESTS) return;
    requests += 1;
    const requestId = `${order}/${requests}`;
    const names = [...instances.keys()].filter(mayAsk);
    const instance = names.length === 0 ? undefined : instances.get(world.pick(names));
    const gone = new AbortController();
    let settled = false;

    const next = (nextTicket: string | undefined, waitMs: number) => {
      world.clock.schedule(world.clock.monotonicMs() + waitMs, () => ask(nextTicket));
    };
    const giveUp = world.clock.schedule(
      world.clock.monotonicMs() + world.between(...PATIENCE_MS),
      () => {
        if (settled) return;
        settled = true;
        if (instance !== undefined) {
          world.carry(caller, instance.process, () => gone.abort());
        }
        world.note(`${requestId} gets no reply in time`);
        next(ticket, 1);
      },
    );
    const onReply = (reply: CallerReply) => {
      if (settled) return;
      settled = true;
      giveUp[Symbol.dispose]();
      told.push({ order, ticket, reply, atMs: world.clock.monotonicMs() });
      world.note(`${requestId} is told ${JSON.stringify(reply)}`);
      if (reply.kind === 'answer') {
        answered += 1;
        if (answered < 3 && world.chance(0.5)) next(ticket, world.between(1, 5_000));
        return;
      }
      if (reply.outcome === 'notRun') next(reply.ticket, world.between(1, 200));
      else if (reply.outcome === 'unknown') next(ticket, world.between(1, 1_000));
    };

    if (instance === undefined) return;
    const request = { requestId, callerId: DEALER, body: order, ticket };
    const arrive = () => {
      instance.receive(
        request,
        (reply) => {
          const arriveBack = () => onReply(reply);
          world.carry(instance.process, caller, arriveBack);
        },
        gone.signal,
      );
    };
    world.carry(caller, instance.process, arrive, { mayRepeat: ticket !== undefined });
  };

  ask(undefined);
}
