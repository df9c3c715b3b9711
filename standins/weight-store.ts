/** The platform's weight store, as far as tests need it: it counts reads and when they came. */
export interface WeightStore {
  /** Notes one read. */
  read(source: string, nowMs: number): void;
  readCount(): number;
  /** Most reads in any span of `windowMs`. */
  mostReadsIn(windowMs: number): number;
}

/** An empty weight store. */
export function createWeightStore(): WeightStore {
  const readsAtMs: number[] = [];
  return {
    read(_source, nowMs) {
      readsAtMs.push(nowMs);
    },
    readCount: () => readsAtMs.length,
    mostReadsIn(windowMs) {
      const counts = readsAtMs.map(
        (startMs) =>
          readsAtMs.filter((atMs) => atMs >= startMs && atMs < startMs + windowMs).length,
      );
      return Math.max(0, ...counts);
    },
  };
}
