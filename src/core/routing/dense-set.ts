/** A set with random access to its members in O(1), so that a random member can be drawn. */
export interface DenseSet<Item> {
  size(): number;
  at(index: number): Item;
  has(item: Item): boolean;
  add(item: Item): void;
  delete(item: Item): void;
}

/** Creates an empty set. */
export function createDenseSet<Item>(): DenseSet<Item> {
  const items: Item[] = [];
  const positions = new Map<Item, number>();
  return {
    size: () => items.length,
    at: (index) => items[index] as Item,
    has: (item) => positions.has(item),
    add(item) {
      if (positions.has(item)) return;
      positions.set(item, items.length);
      items.push(item);
    },
    delete(item) {
      const position = positions.get(item);
      if (position === undefined) return;
      positions.delete(item);
      const last = items.pop() as Item;
      if (last === item) return;
      items[position] = last;
      positions.set(last, position);
    },
  };
}
