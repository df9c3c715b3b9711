import { create } from '@bufbuild/protobuf';
import type { ForwardCall, ForwardTransport } from '../../src/core/peers';
import { createForwardEventSink, toRefusalEvent } from '../../src/core/peers';
import { ForwardEventSchema } from '../../src/gen/forward_pb';
import type { ForwardEvent, ForwardRequest } from '../../src/gen/forward_pb';
import type { SimInstance } from './sim-instance';
import type { SimProcess } from './process';
import type { World } from './world';

/** Calls between simulated instances, over links that lose, delay, repeat and reorder messages. */

/** Open calls of a process, so that an event can be delivered to the wrong one. */
export type OpenCalls = Set<SimCall>;

/** The receiving end of one call. */
interface SimCall extends ForwardCall {
  push(event: ForwardEvent): void;
  fail(reason: string): void;
  finish(): void;
}

const TIMEOUT_ERROR = 'the time was up';
/** Time after which a broken connection is detected, ms. */
const NOTICE_MS = [1, 800] as const;

function createCall(onCancel: () => void): SimCall {
  const events: ForwardEvent[] = [];
  let wake: () => void = () => {};
  let failure: string | undefined;
  let finished = false;
  let cancelled = false;
  const nextWake = () =>
    new Promise<void>((resolve) => {
      wake = resolve;
    });
  return {
    push(event) {
      if (!cancelled) events.push(event);
      wake();
    },
    fail(reason) {
      failure ??= reason;
      wake();
    },
    finish() {
      finished = true;
      wake();
    },
    cancel() {
      if (cancelled) return;
      cancelled = true;
      wake();
      onCancel();
    },
    async *[Symbol.asyncIterator]() {
      for (;;) {
        const event = events.shift();
        if (event !== undefined) yield event;
        else if (cancelled) return;
        else if (failure !== undefined) throw new Error(failure);
        else if (finished) return;
        else {
          await nextWake();
        }
      }
    },
  };
}

/** Dependencies of the transport of a process. */
export interface SimTransportOptions {
  readonly world: World;
  readonly process: SimProcess;
  readonly openCalls: OpenCalls;
  /** Returns the process that listens at an address now. */
  readonly instanceAt: (address: string) => SimInstance | undefined;
  readonly noteForward: (to: SimProcess, message: ForwardRequest) => void;
}

/** Creates the transport of a process. */
export function createSimTransport(options: SimTransportOptions): ForwardTransport {
  const { world, process, openCalls, instanceAt, noteForward } = options;
  const { clock } = process;

  /** The sender's view of one forward at the receiver: a sink that writes events back over the link. */
  const serve = (to: SimInstance, message: ForwardRequest, call: SimCall, gone: AbortSignal) => {
    const broken = () => {
      clock.schedule(clock.monotonicMs() + world.between(...NOTICE_MS), () => call.fail('reset'));
    };
    let lastArrivalMs = 0;
    // A late answer is delivered in full to a call that expects another one, as on a reused connection.
    let crossing = world.chance(world.mood.crossed);
    let target = call;
    const chooseTarget = () => {
      const others = [...openCalls].filter((other) => other !== call);
      if (crossing && others.length > 0) {
        target = world.pick(others);
        crossing = false;
        world.note(`an answer to ${message.requestId} comes on another call`);
      }
    };
    const writeBack = (event: ForwardEvent, isLast: boolean) => {
      world.carry(
        to.process,
        process,
        () => {
          // A connection preserves the order of its messages.
          lastArrivalMs = Math.max(lastArrivalMs, clock.monotonicMs()) + 1;
          clock.schedule(lastArrivalMs, () => {
            chooseTarget();
            target.push(event);
            if (isLast) target.finish();
          });
        },
        { lost: broken },
      );
    };
    const sink = createForwardEventSink(message, {
      write: async (event) => {
        writeBack(create(ForwardEventSchema, event), event.event.case === 'end');
      },
      end: () => {},
      abort: broken,
    });
    to.handlers.serveForwarded(message, sink, gone).catch((error: unknown) => {
      if (sink.headSent) broken();
      else writeBack(toRefusalEvent(message, error), true);
    });
  };

  const roundTrip = (address: string, timeoutMs: number): Promise<SimInstance> =>
    new Promise((resolve, reject) => {
      clock.schedule(clock.monotonicMs() + timeoutMs, () => reject(new Error(TIMEOUT_ERROR)));
      const to = instanceAt(address);
      if (to === undefined) return;
      world.carry(process, to.process, () => {
        world.carry(to.process, process, () => resolve(to));
      });
    });

  return {
    connect: async (address, timeoutMs) => {
      await roundTrip(address, timeoutMs);
    },
    forward(address, message, timeoutMs) {
      const gone = new AbortController();
      const to = instanceAt(address);
      const call = createCall(() => {
        openCalls.delete(call);
        if (to !== undefined) world.carry(process, to.process, () => gone.abort());
      });
      openCalls.add(call);
      clock.schedule(clock.monotonicMs() + timeoutMs, () => call.fail(TIMEOUT_ERROR));
      if (to === undefined) {
        clock.schedule(clock.monotonicMs() + world.between(...NOTICE_MS), () => call.fail('reset'));
        return call;
      }
      noteForward(to.process, message);
      world.note(`${process.name} forwards ${message.requestId} to ${to.process.name}`);
      // The bytes are delivered to the process that listens there when they arrive.
      const arrive = () => serve(instanceAt(address) ?? to, message, call, gone.signal);
      const lost = () => {
        clock.schedule(clock.monotonicMs() + world.between(...NOTICE_MS), () => call.fail('reset'));
      };
      world.carry(process, to.process, arrive, { lost, mayRepeat: true });
      return call;
    },
    cancel: (address, message, timeoutMs) =>
      new Promise((resolve) => {
        clock.schedule(clock.monotonicMs() + timeoutMs, () => resolve(undefined));
        const to = instanceAt(address);
        if (to === undefined) return;
        const arrive = () => {
          const listener = instanceAt(address) ?? to;
          const answer = listener.handlers.cancel(message);
          world.note(
            `${listener.process.name} answers a cancellation of ${message.requestId}: ${answer}`,
          );
          world.carry(listener.process, process, () => resolve(answer));
        };
        world.carry(process, to.process, arrive, { mayRepeat: true });
      }),
    isTimeout: (error) => error instanceof Error && error.message === TIMEOUT_ERROR,
  };
}
