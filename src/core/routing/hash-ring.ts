import { hashText } from '../hashing';

/** A consistent-hash ring: instances that never speak about a key still choose the same servers for it. */
export interface HashRing<Item> {
  /** The first `count` different items after the key's place. */
  after(key: string, count: number): readonly Item[];
}

/** Places of each item on the ring: the share of keys of two items then differs by a fifth or so. */
const PLACES_PER_ITEM = 16;

/** A ring of `items`; costs O(n log n), so it is made once a configuration. */
export function createHashRing<Item>(
  items: readonly Item[],
  nameOf: (item: Item) => string,
): HashRing<Item> {
  const places = items
    .flatMap((item) =>
      Array.from({ length: PLACES_PER_ITEM }, (_unused, place) => ({
        item,
        hash: hashText(`${nameOf(item)}#${place}`),
      })),
    )
    .sort((left, right) => left.hash - right.hash);

  const firstFrom = (hash: number): number => {
    let low = 0;
    let high = places.length;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      if ((places[middle]?.hash ?? 0) < hash) low = middle + 1;
      else high = middle;
    }
    return low;
  };

  return {
    after(key, count) {
      const found: Item[] = [];
      const start = firstFrom(hashText(key));
      for (let step = 0; step < places.length && found.length < count; step += 1) {
        const place = places[(start + step) % places.length];
        if (place !== undefined && !found.includes(place.item)) found.push(place.item);
      }
      return found;
    },
  };
}
