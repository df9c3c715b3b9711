import { createWakeUp } from '../clock';
import type { Clock, WakeUp } from '../clock';
import type { RandomSource } from '../random';
import { EXCHANGE_INTERVAL_MS, PROMPTED_GAP_MS, RETRY_AFTER_MS } from './timing';
import type { MemberRecord } from './types';

/** One task for each partner, started and ended as partners are chosen. */
export interface PartnerTasks extends AsyncDisposable {
  /** Ends the tasks of those not named and starts those missing. */
  keep(partners: readonly MemberRecord[]): void;
  /** Ends the rest of the tasks whose partner `concerns` picks. */
  wake(concerns: (partner: MemberRecord) => boolean): void;
}

/** What the tasks need. */
export interface PartnerTasksOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  /** The partner as it is known now; undefined ends its task. */
  readonly current: (instanceId: string) => MemberRecord | undefined;
  /** Exchanges once; false when the partner did not answer. */
  readonly exchange: (partner: MemberRecord) => Promise<boolean>;
  /** The partner is exchanged with no more, so nothing further is learned about reaching it. */
  readonly onDropped: (instanceId: string) => void;
}

interface PartnerTask {
  readonly wakeUp: WakeUp;
  readonly ending: AbortController;
}

/** Spread of the rests, so that exchanges of instances that started together drift apart. */
const REST_SPREAD = 0.2;

/** No partners yet. */
export function createPartnerTasks(options: PartnerTasksOptions): PartnerTasks {
  const { clock, random, current, exchange, onDropped } = options;
  const tasks = new Map<string, PartnerTask>();
  const running = new Set<Promise<void>>();

  const restMs = (answered: boolean): number => {
    if (!answered) return RETRY_AFTER_MS;
    return EXCHANGE_INTERVAL_MS * (1 - REST_SPREAD / 2 + random.next() * REST_SPREAD);
  };

  const run = async (instanceId: string, { wakeUp, ending }: PartnerTask): Promise<void> => {
    const { signal } = ending;
    let failures = 0;
    while (!signal.aborted) {
      const partner = current(instanceId);
      if (partner === undefined) return;
      const answered = await exchange(partner);
      failures = answered ? 0 : failures + 1;
      const doneAtMs = clock.monotonicMs();
      // A partner that stays silent is tried at the ordinary pace after one quick second try.
      await wakeUp.restUntil(doneAtMs + restMs(answered || failures > 1), signal);
      await wakeUp.restUntil(doneAtMs + PROMPTED_GAP_MS, signal);
    }
  };

  return {
    keep(partners) {
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
    wake(concerns) {
      for (const [instanceId, { wakeUp }] of tasks) {
        const partner = current(instanceId);
        if (partner !== undefined && concerns(partner)) wakeUp.wake();
      }
    },
    async [Symbol.asyncDispose]() {
      for (const { ending } of tasks.values()) ending.abort();
      tasks.clear();
      await Promise.all(running);
    },
  };
}
