import type { Clock } from '../clock';
import { serializeCrashMessages } from './crash-messages';
import type { FingerprintStatement } from './crash-messages';

/** Tells other instances of crashes at once. */
export interface CrashAnnouncer extends Disposable {
  /** Tells the instances of `regions` of a statement, together with those that follow within a moment. */
  add(regions: readonly string[], statement: FingerprintStatement): void;
}

/** Sends a text to all other instances of some regions; it may get lost. */
export type SendToRegions = (regions: readonly string[], text: string) => void;

/** Options of {@link createCrashAnnouncer}. */
export interface CrashAnnouncerOptions {
  readonly clock: Clock;
  readonly instanceId: string;
  readonly send: SendToRegions;
}

/** Time for which statements are collected, ms: the requests that one crash cuts off are noticed one after the other. */
const COLLECT_MS = 10;

interface CollectedStatements {
  readonly regions: readonly string[];
  readonly byFingerprint: Map<string, FingerprintStatement>;
}

/**
 * Creates an announcer without statements.
 *
 * A crash makes every request that was in progress at the server a suspect. As gossip, their statements wait for one
 * another at the few instances that an instance exchanges messages with, and while the one that matters waits, other
 * instances send its request on.
 */
export function createCrashAnnouncer(options: CrashAnnouncerOptions): CrashAnnouncer {
  const { clock, instanceId, send } = options;
  const collected = new Map<string, CollectedStatements>();
  let timer: Disposable | undefined;
  let isDisposed = false;

  const sendCollected = (): void => {
    const nowUnixMs = clock.unixMs();
    for (const { regions, byFingerprint } of collected.values()) {
      const messages = serializeCrashMessages(instanceId, [...byFingerprint.values()], nowUnixMs);
      for (const message of messages) send(regions, message);
    }
    collected.clear();
  };

  return {
    add(regions, statement) {
      if (isDisposed) return;
      if (collected.size === 0) {
        timer = clock.schedule(clock.monotonicMs() + COLLECT_MS, sendCollected);
      }
      const key = regions.join();
      const group = collected.get(key) ?? { regions, byFingerprint: new Map() };
      collected.set(key, group);
      group.byFingerprint.set(statement.fingerprint, statement);
    },
    [Symbol.dispose]() {
      isDisposed = true;
      timer?.[Symbol.dispose]();
    },
  };
}
