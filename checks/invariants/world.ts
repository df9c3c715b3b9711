import { createSeededRandom, pickIndex } from '../../src/core/random';
import { createFakeClock } from '../../src/testing/fake-clock';
import type { FakeClock } from '../../src/testing/fake-clock';
import type { SimProcess } from './process';

/** Faults of messages and senders in one schedule; drawn from its seed. */
export interface NetworkMood {
  /** Shares of messages, from 0 to 1. */
  readonly lost: number;
  readonly repeated: number;
  readonly late: number;
  readonly crossed: number;
  /** Share of sends during which the sender's process is paused. */
  readonly sleepy: number;
}

/** A simulated world: one clock, one source of random numbers, unreliable links, and a history of events. */
export interface World {
  readonly clock: FakeClock;
  /** Returns a number from 0 (inclusive) to 1 (exclusive). */
  draw(): number;
  /** Returns true with the given probability. */
  chance(share: number): boolean;
  pick<Item>(items: readonly Item[]): Item;
  between(least: number, most: number): number;
  readonly mood: NetworkMood;
  note(text: string): void;
  readonly history: readonly string[];
  /** Blocks all messages between two places, each a process or a region. */
  cut(one: string, other: string): void;
  mend(one: string, other: string): void;
  /** Delivers a message; `lost` runs at once if it will not arrive. Bytes of one connection are never repeated. */
  carry(from: SimProcess, to: SimProcess, arrive: () => void, how?: Carriage): void;
}

/** Delivery of one message. */
export interface Carriage {
  readonly lost?: () => void;
  readonly mayRepeat?: boolean;
}

/** Delay of a message within and between regions, ms. */
const NEAR_MS = [1, 3] as const;
const FAR_MS = [20, 60] as const;
/** Delay of a message that is held up on its way, ms. */
const LATE_MS = [500, 6_000] as const;

function linkName(one: string, other: string): string {
  return [one, other].sort().join('~');
}

/** Creates a world from `seed`. */
export function createWorld(seed: number): World {
  const clock = createFakeClock();
  const random = createSeededRandom(seed);
  const history: string[] = [];
  const cuts = new Set<string>();
  const draw = () => random.next();
  const chance = (share: number) => draw() < share;
  const between = (least: number, most: number) => least + Math.floor(draw() * (most - least + 1));
  const mood: NetworkMood = {
    lost: chance(0.5) ? draw() * 0.2 : 0,
    repeated: chance(0.5) ? draw() * 0.15 : 0,
    late: chance(0.5) ? draw() * 0.15 : 0,
    crossed: chance(0.3) ? draw() * 0.5 : 0,
    sleepy: chance(0.3) ? draw() * 0.1 : 0,
  };

  const isCut = (from: SimProcess, to: SimProcess) =>
    cuts.has(linkName(from.region, to.region)) || cuts.has(linkName(from.name, to.name));

  const delayMs = (from: SimProcess, to: SimProcess) => {
    if (chance(mood.late)) return between(...LATE_MS);
    return from.region === to.region ? between(...NEAR_MS) : between(...FAR_MS);
  };

  return {
    clock,
    draw,
    chance,
    between,
    mood,
    history,
    pick: (items) => items[pickIndex(random, items.length)] as (typeof items)[number],
    note(text) {
      history.push(`${String(clock.monotonicMs()).padStart(6)} ms  ${text}`);
    },
    cut: (one, other) => {
      cuts.add(linkName(one, other));
    },
    mend: (one, other) => {
      cuts.delete(linkName(one, other));
    },
    carry(from, to, arrive, { lost, mayRepeat = false } = {}) {
      if (!from.alive) return;
      if (isCut(from, to) || chance(mood.lost)) {
        lost?.();
        return;
      }
      const copies = mayRepeat && chance(mood.repeated) ? 2 : 1;
      for (let copy = 0; copy < copies; copy += 1) {
        clock.schedule(clock.monotonicMs() + delayMs(from, to), () => to.deliver(arrive));
      }
    },
  };
}
