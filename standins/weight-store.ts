/** A stand-in for the platform's weight store that records the times of reads. */
export interface WeightStore {
  /** Records one read. */
  read(source: string, nowMs: number): void;
  readCount(): number;
  /** Returns the maximum number of reads in any span of `windowMs`. */
  mostReadsIn(windowMs: number): number;
}

/** Creates a weight store without any reads. */
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
