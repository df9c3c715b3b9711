/** A binary heap with the smallest item first; each change takes O(log n). */
export interface Heap<Item> {
  size(): number;
  peek(): Item | undefined;
  push(item: Item): void;
  pop(): Item | undefined;
}

/** Creates an empty heap ordered by `isBefore`. */
export function createHeap<Item>(isBefore: (left: Item, right: Item) => boolean): Heap<Item> {
  const items: Item[] = [];
  const at = (index: number): Item => items[index] as Item;

  const siftUp = (item: Item) => {
    let index = items.length - 1;
    while (index > 0) {
      const parent = Math.floor((index - 1) / 2);
      if (!isBefore(item, at(parent))) break;
      items[index] = at(parent);
      index = parent;
    }
    items[index] = item;
  };

  const siftDown = (item: Item) => {
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= items.length) break;
      if (child + 1 < items.length && isBefore(at(child + 1), at(child))) child += 1;
      if (!isBefore(at(child), item)) break;
      items[index] = at(child);
      index = child;
    }
    items[index] = item;
  };

  return {
    size: () => items.length,
    peek: () => items[0],
    push(item) {
      items.push(item);
      siftUp(item);
    },
    pop() {
      const first = items[0];
      const last = items.pop();
      if (items.length > 0) siftDown(last as Item);
      return first;
    },
  };
}
