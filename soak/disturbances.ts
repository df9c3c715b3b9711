import type { Fault } from './faults';

/** Remembers which instances faults have struck. */
export interface Disturbances {
  /** Records a fault until `ended` resolves; returns `ended`. */
  during(fault: Fault, ended: Promise<void>): Promise<void>;
  /** Whether a fault has struck an instance within some time, or lasts. */
  isDisturbed(instance: number, withinMs: number): boolean;
}

/** Returns the instances that a fault strikes. */
function struckBy(fault: Fault): readonly number[] {
  if ('instances' in fault) return fault.instances;
  return 'instance' in fault ? [fault.instance] : [];
}

/** Creates a record without faults. */
export function createDisturbances(): Disturbances {
  const lasting = new Map<number, number>();
  const lastEndMs = new Map<number, number>();
  const count = (instance: number, change: number): void => {
    lasting.set(instance, (lasting.get(instance) ?? 0) + change);
    lastEndMs.set(instance, performance.now());
  };
  return {
    async during(fault, ended) {
      const struck = struckBy(fault);
      for (const instance of struck) count(instance, 1);
      await ended;
      for (const instance of struck) count(instance, -1);
    },
    isDisturbed: (instance, withinMs) =>
      (lasting.get(instance) ?? 0) > 0 ||
      (lastEndMs.get(instance) ?? -Infinity) + withinMs > performance.now(),
  };
}
