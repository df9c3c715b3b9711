import { createWakeUp } from '../clock';
import type { Clock, WakeUp } from '../clock';
import type { RandomSource } from '../random';
import { EXCHANGE_INTERVAL_MS, MIN_EXCHANGE_GAP_MS, RETRY_DELAY_MS } from './timing';
import type { MemberRecord } from './types';

/** Tasks that exchange messages with the current partners at an interval, one task per partner. */
export interface PartnerTasks extends AsyncDisposable {
  /** Sets the current partners: ends the tasks of all others and starts missing ones. */
  update(partners: readonly MemberRecord[]): void;
  /** Wakes the tasks of the partners for which `isSelected` returns true, so that they exchange at once. */
  wake(isSelected: (partner: MemberRecord) => boolean): void;
}

/** Options of {@link createPartnerTasks}. */
export interface PartnerTasksOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Returns the current record of a partner; undefined ends its task. */
  readonly currentRecord: (instanceId: string) => MemberRecord | undefined;
  /** Exchanges once; resolves to false if the partner did not reply. */
  readonly exchange: (partner: MemberRecord) => Promise<boolean>;
  /** Called when an instance stops being a partner, after which its reachability is no longer observed. */
  readonly onDropped: (instanceId: string) => void;
}

interface PartnerTask {
  readonly wakeUp: WakeUp;
  readonly ending: AbortController;
}

/** Jitter of the interval as a fraction of it, so that exchanges of instances that started together drift apart. */
const INTERVAL_JITTER = 0.2;

/** Creates partner tasks without any partner. */
export function createPartnerTasks(options: PartnerTasksOptions): PartnerTasks {
  const { clock, random, currentRecord, exchange, onDropped } = options;
  const tasks = new Map<string, PartnerTask>();
  const running = new Set<Promise<void>>();

  /** Returns the delay before the next exchange: the jittered interval, or the shorter delay of a retry. */
  const delayMs = (usesInterval: boolean): number => {
    if (!usesInterval) return RETRY_DELAY_MS;
    return EXCHANGE_INTERVAL_MS * (1 - INTERVAL_JITTER / 2 + random.next() * INTERVAL_JITTER);
  };

  const run = async (instanceId: string, { wakeUp, ending }: PartnerTask): Promise<void> => {
    const { signal } = ending;
    let failures = 0;
    while (!signal.aborted) {
      const partner = currentRecord(instanceId);
      if (partner === undefined) return;
      const hasReplied = await exchange(partner);
      failures = hasReplied ? 0 : failures + 1;
      const doneAtMs = clock.monotonicMs();
      // A partner that does not reply is retried quickly once, then at the regular interval.
      await wakeUp.restUntil(doneAtMs + delayMs(hasReplied || failures > 1), signal);
      await wakeUp.restUntil(doneAtMs + MIN_EXCHANGE_GAP_MS, signal);
    }
  };

  return {
    update(partners) {
      const wanted = new Set(partners.map((partner) => partner.instanceId));
      for (const [instanceId, task] of tasks) {
        if (!wanted.has(instanceId)) {
          task.ending.abort();
          tasks.delete(instanceId);
          onDropped(instanceId);
        }
      }
      for (const instanceId of wanted) {
        if (!tasks.has(instanceId)) {
          const task = { wakeUp: createWakeUp(clock), ending: new AbortController() };
          tasks.set(instanceId, task);
          const done = run(instanceId, task).finally(() => running.delete(done));
          running.add(done);
        }
      }
    },
    wake(isSelected) {
      for (const [instanceId, { wakeUp }] of tasks) {
        const partner = currentRecord(instanceId);
        if (partner !== undefined && isSelected(partner)) wakeUp.wake();
      }
    },
    async [Symbol.asyncDispose]() {
      for (const { ending } of tasks.values()) ending.abort();
      tasks.clear();
      await Promise.all(running);
    },
  };
}
