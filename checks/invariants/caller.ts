import { DEALER } from './fleet';
import type { Fleet } from './fleet';
import { createSimProcess } from './process';
import type { CallerReply } from './sim-instance';

/** What a caller was told at one time. */
export interface Told {
  readonly order: string;
  /** The ticket that was presented; undefined for a first call without one. */
  readonly ticket: string | undefined;
  readonly reply: CallerReply;
  readonly atMs: number;
}

/** Time after which a caller takes its request for lost, ms. */
const PATIENCE_MS = [300, 4_000] as const;
/** Requests that a caller makes for one order at the most. */
const MOST_REQUESTS = 10;

/**
 * Places one order as a caller does that trusts the answers: it asks again with the same ticket while it does
 * not know, at whichever instance, and places the order anew only where it was told `notRun`.
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
    if (requests === MOST_REQUESTS) return;
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
