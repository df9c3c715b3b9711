/** Counts what this instance has open at each backend server. */
export interface InFlight {
  requestsAt(serverId: string): number;
  totalRequests(): number;
  /** Notes the start of a request; disposing of the result notes its end. */
  begin(serverId: string): Disposable;
}

/** Counts from zero. */
export function createInFlight(): InFlight {
  const counts = new Map<string, number>();
  let total = 0;
  const change = (serverId: string, by: number) => {
    const count = (counts.get(serverId) ?? 0) + by;
    total += by;
    if (count === 0) counts.delete(serverId);
    else counts.set(serverId, count);
  };
  return {
    requestsAt: (serverId) => counts.get(serverId) ?? 0,
    totalRequests: () => total,
    begin(serverId) {
      change(serverId, 1);
      let open = true;
      return {
        [Symbol.dispose]() {
          if (open) change(serverId, -1);
          open = false;
        },
      };
    },
  };
}
