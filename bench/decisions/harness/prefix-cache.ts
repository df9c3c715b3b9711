/** The prefix cache of a fake engine: least recently used prefixes go first. */
export interface PrefixCache {
  /** Whether the prefix is held; marks it as used. */
  use(prefixKey: string): boolean;
  /** Stores a prefix and returns the keys that had to go. */
  store(prefixKey: string, tokens: number): readonly string[];
  clear(): void;
}

/** An empty cache of `capacityTokens`. */
export function createPrefixCache(capacityTokens: number): PrefixCache {
  const held = new Map<string, number>();
  let heldTokens = 0;

  const remove = (key: string) => {
    heldTokens -= held.get(key) ?? 0;
    held.delete(key);
  };

  return {
    use(prefixKey) {
      const tokens = held.get(prefixKey);
      if (tokens === undefined) return false;
      held.delete(prefixKey);
      held.set(prefixKey, tokens);
      return true;
    },
    store(prefixKey, tokens) {
      remove(prefixKey);
      if (tokens > capacityTokens) return [];
      held.set(prefixKey, tokens);
      heldTokens += tokens;
      const evicted: string[] = [];
      for (const key of held.keys()) {
        if (heldTokens <= capacityTokens) break;
        evicted.push(key);
        remove(key);
      }
      return evicted;
    },
    clear() {
      held.clear();
      heldTokens = 0;
    },
  };
}
