import { setTimeout as sleep } from 'node:timers/promises';
import { pickIndex } from '../src/core/random';
import type { RandomSource } from '../src/core/random';
import { regionOf } from '../platform/testing/process-settings';
import type { SoakInstances } from './instances';
import type { StoreTroubles } from './store-troubles';
import type { StreamCallers } from './stream-callers';
import type { InstanceLoss } from './types';

/** Loses all instances, or all of one region, at once or in waves, several times in a row. */

/** State of the store while instances are away and when they return. */
export type StoreAtLoss = 'sound' | (typeof STORE_TROUBLES_AT_LOSS)[number];

/** How one instance is struck. */
export interface Strike {
  readonly instance: number;
  /** Time from the begin of the round, ms. */
  readonly afterMs: number;
  /** Time for which it stays away, ms. */
  readonly awayMs: number;
}

/** One time at which all struck instances are lost. */
export interface LossRound {
  readonly strikes: readonly Strike[];
  readonly store: StoreAtLoss;
  /** Time from the begin of the round until the store is sound again, ms. */
  readonly storeForMs: number;
  /** Time until the next round, once all are back, ms. */
  readonly pauseMs: number;
}

/** Instances that are lost, and how. */
export interface DrawnLoss {
  readonly instances: readonly number[];
  readonly rounds: readonly LossRound[];
}

const STORE_TROUBLES_AT_LOSS = ['busy', 'silent', 'slow', 'withoutHistory', 'restored'] as const;
/** Share of rounds in which the store is in trouble. */
const STORE_TROUBLE_SHARE = 0.3;
/** Share of losses of all instances; the others are of one region. */
const ALL_SHARE = 0.75;
/** Share of rounds in which one instance is struck after the other. */
const WAVE_SHARE = 0.4;
/** Time within which instances are struck that are lost at once, ms. */
const AT_ONCE_MS = 500;
/** Time between two instances that are struck one after the other, ms: the first ones are young when the last one goes. */
const MIN_WAVE_GAP_MS = 200;
const MAX_WAVE_GAP_MS = 900;
const MIN_AWAY_MS = 300;
const MAX_AWAY_MS = 2_600;
const MAX_ROUNDS = 3;
const MIN_PAUSE_MS = 500;
const MAX_PAUSE_MS = 4_000;
const MIN_STORE_MS = 1_000;
const MAX_STORE_MS = 5_000;
/** Time before the first strike from which streams begin, ms: many are open then. */
const ASKED_BEFORE_MS = 1_000;

function drawMs(random: RandomSource, minMs: number, maxMs: number): number {
  return minMs + random.next() * (maxMs - minMs);
}

/** Returns items in a drawn order. */
function shuffle<Item>(random: RandomSource, items: readonly Item[]): readonly Item[] {
  return items
    .map((item) => ({ item, rank: random.next() }))
    .sort((left, right) => left.rank - right.rank)
    .map(({ item }) => item);
}

function drawStore(random: RandomSource): StoreAtLoss {
  if (random.next() >= STORE_TROUBLE_SHARE) return 'sound';
  return STORE_TROUBLES_AT_LOSS[pickIndex(random, STORE_TROUBLES_AT_LOSS.length)] ?? 'sound';
}

function drawRound(random: RandomSource, instances: readonly number[]): LossRound {
  const isWave = random.next() < WAVE_SHARE;
  const gapMs = drawMs(random, MIN_WAVE_GAP_MS, MAX_WAVE_GAP_MS);
  const strikes = shuffle(random, instances).map((instance, index) => ({
    instance,
    afterMs: isWave ? index * gapMs : random.next() * AT_ONCE_MS,
    awayMs: drawMs(random, MIN_AWAY_MS, MAX_AWAY_MS),
  }));
  return {
    strikes,
    store: drawStore(random),
    storeForMs: drawMs(random, MIN_STORE_MS, MAX_STORE_MS),
    pauseMs: drawMs(random, MIN_PAUSE_MS, MAX_PAUSE_MS),
  };
}

/** Draws which instances are lost, how often, and in which state they find the store. */
export function drawLoss(random: RandomSource, count: number): DrawnLoss {
  const all = Array.from({ length: count }, (_unused, index) => index);
  const region = regionOf(pickIndex(random, count));
  const isOfAll = random.next() < ALL_SHARE;
  const instances = isOfAll ? all : all.filter((index) => regionOf(index) === region);
  const rounds = Array.from({ length: 1 + pickIndex(random, MAX_ROUNDS) }, () =>
    drawRound(random, instances),
  );
  return { instances, rounds };
}

/** Losses of a run. */
export interface Losses {
  /** In order of their begin. */
  readonly times: readonly InstanceLoss[];
  /** Ends instances as drawn; does nothing while an earlier call with the same signal lasts. Resolves once all are back. */
  play(loss: DrawnLoss, signal: 'SIGKILL' | 'SIGTERM'): Promise<void>;
}

/** What losses act on. */
export interface LossTargets {
  readonly instances: Pick<SoakInstances, 'count' | 'callerAddress' | 'end'>;
  readonly streamCallers: Pick<StreamCallers, 'during'>;
  readonly storeTroubles: Pick<StoreTroubles, 'play'>;
  /** Time before the first strike from which streams begin, ms. */
  readonly askedBeforeMs?: number;
}

/** Creates a record without losses. */
export function createLosses(targets: LossTargets): Losses {
  const { instances, streamCallers, storeTroubles, askedBeforeMs = ASKED_BEFORE_MS } = targets;
  const times: (InstanceLoss & { toMs: number })[] = [];
  const playing = new Set<string>();

  const playRound = async (
    { strikes, store, storeForMs }: LossRound,
    signal: 'SIGKILL' | 'SIGTERM',
  ): Promise<void> => {
    const lastStrikeMs = Math.max(...strikes.map(({ afterMs }) => afterMs));
    const streams = streamCallers.during(askedBeforeMs + lastStrikeMs);
    await sleep(askedBeforeMs);
    const loss = {
      addresses: strikes.map(({ instance }) => instances.callerAddress(instance)),
      isOfAll: strikes.length === instances.count,
      fromMs: Date.now(),
      toMs: Infinity,
    };
    times.push(loss);
    const restored = storeTroubles.play(store, storeForMs);
    const back = strikes.map(async ({ instance, afterMs, awayMs }) => {
      await sleep(afterMs);
      await instances.end(instance, signal, awayMs);
    });
    await Promise.all(back);
    loss.toMs = Date.now();
    await Promise.all([streams, restored]);
  };

  return {
    times,
    async play({ rounds }, signal) {
      if (playing.has(signal)) return;
      playing.add(signal);
      try {
        for (const round of rounds) {
          await playRound(round, signal);
          await sleep(round.pauseMs);
        }
      } finally {
        playing.delete(signal);
      }
    },
  };
}
