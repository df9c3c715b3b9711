import type { Clock } from '../core/clock';

/** Messages between instances as function calls that take virtual time, can be cut, and can find nobody. */

/** Where an instance stands on the network. */
export interface NetworkPlace {
  readonly address: string;
  readonly region: string;
  readonly failureDomain: string;
}

/** Whether messages from one place reach another. */
export type NetworkCut = (from: NetworkPlace, to: NetworkPlace) => boolean;

/** One instance's connection to the network. */
export interface NetworkPort {
  /** Time as this instance's process has it: its timers stand still while it is paused. */
  readonly clock: Clock;
  /** Sends a request; rejects after the timeout, or at once where nothing listens. */
  call<Answer>(
    address: string,
    handle: (port: NetworkPort) => Answer | Promise<Answer>,
  ): Promise<Answer>;
  pause(): void;
  wake(): void;
  /** The process is gone; `silently` when its machine went too, so that nothing refuses connections. */
  close(silently: boolean): void;
  readonly place: NetworkPlace;
  /** What the instance offers, for the callers' `handle`. */
  service: unknown;
}

/** The network. */
export interface VirtualNetwork {
  open(place: NetworkPlace, clockOffsetMs?: number): NetworkPort;
  /** Sets which messages are lost; undefined heals all. */
  setCut(cut: NetworkCut | undefined): void;
  callCount(): number;
}

/** One way, ms: well under a millisecond between failure domains, dozens of times that between regions. */
const NEAR_LATENCY_MS = 1;
const FAR_LATENCY_MS = 45;
const CALL_TIMEOUT_MS = 1_000;

interface Port extends NetworkPort {
  deliver(action: () => void): void;
  state: 'open' | 'refusing' | 'silent';
}

function createPort(clock: Clock, place: NetworkPlace, offsetMs: number): Omit<Port, 'call'> {
  let isPaused = false;
  let held: (() => void)[] = [];

  const deliver = (action: () => void) => {
    if (isPaused) held.push(action);
    else action();
  };

  return {
    place,
    service: undefined,
    state: 'open',
    deliver,
    clock: {
      monotonicMs: clock.monotonicMs,
      unixMs: () => clock.unixMs() + offsetMs,
      schedule: (atMs, callback) => {
        let isCancelled = false;
        const run = () => {
          if (!isCancelled) callback();
        };
        const timer = clock.schedule(atMs, () => deliver(run));
        return {
          [Symbol.dispose]() {
            isCancelled = true;
            timer[Symbol.dispose]();
          },
        };
      },
    },
    pause() {
      isPaused = true;
    },
    wake() {
      isPaused = false;
      const actions = held;
      held = [];
      actions.forEach((action) => action());
    },
    close(this: Port, silently: boolean) {
      this.state = silently ? 'silent' : 'refusing';
    },
  };
}

/** A network without instances. */
export function createVirtualNetwork(clock: Clock): VirtualNetwork {
  const ports = new Map<string, Port>();
  let cut: NetworkCut | undefined;
  let calls = 0;

  const latencyMs = (from: NetworkPlace, to: NetworkPlace) =>
    from.region === to.region ? NEAR_LATENCY_MS : FAR_LATENCY_MS;

  const travel = (from: Port, to: Port, action: () => void) => {
    if (cut?.(from.place, to.place) === true || to.state === 'silent') return;
    const atMs = clock.monotonicMs() + latencyMs(from.place, to.place);
    clock.schedule(atMs, () => to.deliver(action));
  };

  const call = <Answer>(
    from: Port,
    address: string,
    handle: (port: NetworkPort) => Answer | Promise<Answer>,
  ): Promise<Answer> =>
    new Promise((resolve, reject) => {
      calls += 1;
      const deadlineAtMs = clock.monotonicMs() + CALL_TIMEOUT_MS;
      const timer = from.clock.schedule(deadlineAtMs, () => reject(new Error('timeout')));
      const finish = (settleCall: () => void) => {
        timer[Symbol.dispose]();
        settleCall();
      };
      const to = ports.get(address);
      if (to === undefined) return;
      const refuse = () => travel(to, from, () => finish(() => reject(new Error('refused'))));
      travel(from, to, () => {
        if (to.state !== 'open') {
          refuse();
          return;
        }
        const answer = (async () => handle(to))();
        answer.then(
          (value) => travel(to, from, () => finish(() => resolve(value))),
          (error: unknown) => travel(to, from, () => finish(() => reject(error))),
        );
      });
    });

  return {
    open(place, clockOffsetMs = 0) {
      const base = createPort(clock, place, clockOffsetMs);
      const port: Port = Object.assign(base, {
        call: <Answer>(address: string, handle: (to: NetworkPort) => Answer | Promise<Answer>) =>
          call(port, address, handle),
      });
      ports.set(place.address, port);
      return port;
    },
    setCut(next) {
      cut = next;
    },
    callCount: () => calls,
  };
}
