import { setTimeout as sleep } from 'node:timers/promises';
import { pickIndex } from '../src/core/random';
import type { RandomSource } from '../src/core/random';
import type { ReceivedRequest } from '../standins/announced-server';
import { keyOfCaller } from './accounts';
import { askWithParts } from './ask-with-parts';
import type { BrokenPromise } from './types';

/** Requests with a part of the prompt on which servers crash, at times, and sound requests beside them. */
export interface CrashingParts {
  /** Arrivals of requests with crashing parts at servers, in order of time. */
  readonly arrivals: readonly PartArrival[];
  /** Sound requests that were sent beside them. */
  readonly sound: readonly SoundRequest[];
  /** Has servers crash on a part for some time, unless they do on two, and sends requests with it, no two alike, and sound ones. */
  during(forMs: number): Promise<void>;
  /** Returns whether a server crashes on a request that has reached it, and records that. */
  crashesOn(request: ReceivedRequest): boolean;
}

/** A request with a crashing part that has reached a server. */
export interface PartArrival {
  readonly part: string;
  readonly requestId: string;
  /** Unix ms. */
  readonly atMs: number;
  /** Whether the instance that its caller asked had been struck by a fault shortly before. */
  readonly isDisturbed: boolean;
}

/** A sound request, with what came of it. */
export interface SoundRequest {
  readonly requestId: string;
  /** Whether it was refused as the cause of crashes. */
  readonly isSuspected: boolean;
}

/** Options of `createCrashingParts`. */
export interface CrashingPartsOptions {
  readonly random: RandomSource;
  readonly instances: number;
  readonly callerAddress: (instance: number) => string;
  /** Whether a fault has struck an instance within some time. */
  readonly isDisturbed: (instance: number, withinMs: number) => boolean;
}

/** Crashes by a part, and the time after the last of these from which few requests with it may reach servers, ms. */
const CRASHES = 5;
const ALLOWED_AFTER_MS = 5_000;
/** Requests with the part that may reach servers after that. */
const MAX_LATE = 3;
/** Parts on which servers crash at once. With more, servers are down most of the time, and each part has few crashes. */
const MAX_PARTS_AT_ONCE = 2;
const BAD_GAP_MS = 250;
const SOUND_PER_BAD = 2;
const DEADLINE_MS = 2_000;
const OUTPUT_TOKENS = 20;
const SYSTEM_PART = 'a0';
const SUBJECTS = 10;
const SUSPECTED = '"suspectedOfCrashes"';

/** Creates a source of such requests that is not active yet. */
export function createCrashingParts(options: CrashingPartsOptions): CrashingParts {
  const { random, instances, callerAddress, isDisturbed } = options;
  const arrivals: PartArrival[] = [];
  const sound: SoundRequest[] = [];
  const active = new Set<string>();
  const askedAt = new Map<string, number>();
  let parts = 0;
  let asked = 0;

  /** Sends a request to a drawn instance, and resolves with the text of the answer; never rejects. */
  const ask = async (prompt: readonly string[], requestId: string): Promise<string> => {
    const instance = pickIndex(random, instances);
    askedAt.set(requestId, instance);
    const { text } = await askWithParts({
      address: callerAddress(instance),
      requestId,
      parts: [...prompt, `f${asked.toString(16)}`],
      outputTokens: OUTPUT_TOKENS,
      deadlineMs: DEADLINE_MS,
      apiKey: keyOfCaller(0),
    });
    return text;
  };

  const askSound = async (subject: string): Promise<void> => {
    asked += 1;
    const requestId = `sound-${asked}`;
    const text = await ask([SYSTEM_PART, subject], requestId);
    sound.push({ requestId, isSuspected: text.includes(SUSPECTED) });
  };

  const askBad = async (part: string, subject: string): Promise<void> => {
    asked += 1;
    await ask([SYSTEM_PART, part, subject], `bad-${asked}`);
  };

  return {
    arrivals,
    sound,
    async during(forMs) {
      if (active.size >= MAX_PARTS_AT_ONCE) return;
      parts += 1;
      const part = `bad${parts}`;
      active.add(part);
      const open: Promise<void>[] = [];
      const untilMs = performance.now() + forMs;
      while (performance.now() < untilMs) {
        const subject = () => `c${pickIndex(random, SUBJECTS)}`;
        for (let number = 0; number < SOUND_PER_BAD; number += 1) open.push(askSound(subject()));
        open.push(askBad(part, subject()));
        await sleep(BAD_GAP_MS);
      }
      await Promise.all(open);
      active.delete(part);
    },
    crashesOn({ headers }) {
      const ids = (headers.get('x-prefix-hash') ?? '').split(',').map((one) => one.split(':')[0]);
      const part = ids.slice(0, -1).find((id) => id !== undefined && active.has(id));
      if (part === undefined) return false;
      const requestId = headers.get('x-request-id') ?? '';
      const instance = askedAt.get(requestId) ?? 0;
      const disturbed = isDisturbed(instance, ALLOWED_AFTER_MS);
      arrivals.push({ part, requestId, atMs: Date.now(), isDisturbed: disturbed });
      return true;
    },
  };
}

/** Checks that hardly any request with a part reaches servers once it has crashed several. */
export function checkCrashingParts(
  arrivals: readonly PartArrival[],
  sound: readonly SoundRequest[],
): readonly BrokenPromise[] {
  const parts = new Set(arrivals.map(({ part }) => part));
  const late = [...parts].flatMap((part): BrokenPromise[] => {
    const ofPart = arrivals.filter((arrival) => arrival.part === part);
    const fifthAtMs = ofPart[CRASHES - 1]?.atMs ?? Infinity;
    const counted = ofPart.filter(
      ({ atMs, isDisturbed }) => atMs > fifthAtMs + ALLOWED_AFTER_MS && !isDisturbed,
    );
    if (counted.length <= MAX_LATE) return [];
    const detail = `${counted.length} of ${ofPart.length} requests with ${part}, late`;
    return [{ promise: 'crashingPartServed', requestId: counted[0]?.requestId ?? '', detail }];
  });
  const suspected = sound.filter(({ isSuspected }) => isSuspected);
  const detail = `${suspected.length} of ${sound.length} sound requests were refused as suspects`;
  const refused: readonly BrokenPromise[] =
    suspected.length === 0
      ? []
      : [{ promise: 'soundSuspected', requestId: suspected[0]?.requestId ?? '', detail }];
  return [...late, ...refused];
}
