/** Ownership: whoever creates something that must be released puts it into a store and disposes of that. */

/** Something that is released once, perhaps taking time over it. */
export type Releasable = Disposable | AsyncDisposable;

/** Holds what one owner must release. */
export interface DisposableStore extends AsyncDisposable {
  /** Adds `item` and hands it back. Added to a store already disposed of, it is released at once. */
  add<Item extends Releasable>(item: Item): Item;
  /** Adds a function to be called on release. */
  defer(release: () => void | Promise<void>): void;
}

async function release(item: Releasable): Promise<void> {
  if (Symbol.asyncDispose in item) {
    await item[Symbol.asyncDispose]();
    return;
  }
  item[Symbol.dispose]();
}

/** A store that releases in the reverse order of adding, so that users go before what they use. */
export function createDisposableStore(): DisposableStore {
  const items: Releasable[] = [];
  let disposed = false;

  const add = <Item extends Releasable>(item: Item): Item => {
    if (disposed) {
      void release(item);
      return item;
    }
    items.push(item);
    return item;
  };

  return {
    add,
    defer(releaseFunction) {
      add({ [Symbol.asyncDispose]: async () => releaseFunction() });
    },
    async [Symbol.asyncDispose]() {
      disposed = true;
      for (let item = items.pop(); item !== undefined; item = items.pop()) await release(item);
    },
  };
}
