import { hashText } from '../hashing';

/** A consistent-hash ring: instances choose the same servers for a key without communicating. */
export interface HashRing<Item> {
  /** Returns the first `count` distinct items after the hash of the key. */
  after(key: string, count: number): readonly Item[];
}

/** Points of each item on the ring; with 16, the shares of keys of two items differ by about a fifth. */
const POINTS_PER_ITEM = 16;

/** Creates a ring of `items`. Costs O(n log n), so it is created only once per configuration. */
export function createHashRing<Item>(
  items: readonly Item[],
  nameOf: (item: Item) => string,
): HashRing<Item> {
  const points = items
    .flatMap((item) =>
      Array.from({ length: POINTS_PER_ITEM }, (_unused, point) => ({
        item,
        hash: hashText(`${nameOf(item)}#${point}`),
      })),
    )
    .sort((left, right) => left.hash - right.hash);

  const firstPointAtOrAfter = (hash: number): number => {
    let low = 0;
    let high = points.length;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      if ((points[middle]?.hash ?? 0) < hash) low = middle + 1;
      else high = middle;
    }
    return low;
  };

  return {
    after(key, count) {
      const found: Item[] = [];
      const start = firstPointAtOrAfter(hashText(key));
      for (let step = 0; step < points.length && found.length < count; step += 1) {
        const point = points[(start + step) % points.length];
        if (point !== undefined && !found.includes(point.item)) found.push(point.item);
      }
      return found;
    },
  };
}
