import type { LoadRequest, Policy, PolicyFactory, PolicySetup } from './types';

/** The plain ways of deciding that every scenario is also run against. */

function localServerIds({ servers, instance }: PolicySetup, service: string): string[] {
  return servers
    .filter((server) => server.service === service && server.region === instance.region)
    .map(({ serverId }) => serverId);
}

/** Chooses a server for a request out of the ids given; they are never empty. */
type Chooser = (request: LoadRequest, serverIds: readonly string[]) => string;

function sendAtOnce(setup: PolicySetup, choose: Chooser): Policy {
  const { actions } = setup;
  const send = (request: LoadRequest) => {
    const ids = localServerIds(setup, request.service);
    if (ids.length === 0) actions.refuse(request, 'no server');
    else actions.send(request, choose(request, ids));
  };
  return {
    onRequest: send,
    onAttemptEnd(request, end) {
      if (end.kind === 'crashed' || end.kind === 'unreachable') {
        actions.refuse(request, 'server failed');
      }
    },
    onGone: () => {},
  };
}

/** Round robin over the region's servers, everything sent at once, no retries. */
export const roundRobin: PolicyFactory = {
  name: 'round-robin',
  create(setup) {
    let turn = 0;
    return sendAtOnce(setup, (_request, ids) => {
      turn += 1;
      return ids[turn % ids.length] as string;
    });
  },
};

/** Sends each request to the server where this instance has least open. */
function leastOpen(setup: PolicySetup, retries: boolean): Policy {
  const open = new Map<string, number>();
  const { actions } = setup;
  const openAt = (serverId: string) => open.get(serverId) ?? 0;
  const send = (request: LoadRequest) => {
    const ids = localServerIds(setup, request.service);
    const [first, ...others] = ids;
    if (first === undefined) {
      actions.refuse(request, 'no server');
      return;
    }
    const best = others.reduce((least, id) => (openAt(id) < openAt(least) ? id : least), first);
    open.set(best, openAt(best) + 1);
    actions.send(request, best);
  };
  return {
    onRequest: send,
    onAttemptEnd(request, end) {
      if ('serverId' in end && end.serverId !== undefined) {
        open.set(end.serverId, openAt(end.serverId) - 1);
      }
      if (end.kind !== 'crashed' && end.kind !== 'unreachable') return;
      if (retries) send(request);
      else actions.refuse(request, 'server failed');
    },
    onGone: () => {},
  };
}

/** The server with the fewest requests of this instance in flight; everything sent at once. */
export const leastInFlight: PolicyFactory = {
  name: 'least-in-flight',
  create: (setup) => leastOpen(setup, false),
};

/** As least in flight, and each failure is tried again at once without end. */
export const unboundedRetries: PolicyFactory = {
  name: 'unbounded-retries',
  create: (setup) => leastOpen(setup, true),
};

/** FIFO queue without admission before a fixed number of requests at each server. */
export function fifoWithFixedLimit(
  perServer: number,
  name = `fifo-limit-${perServer}`,
): PolicyFactory {
  return {
    name,
    create(setup) {
      const { actions } = setup;
      const open = new Map<string, number>();
      const waiting = new Map<string, Set<LoadRequest>>();
      const openAt = (serverId: string) => open.get(serverId) ?? 0;
      const fill = (service: string) => {
        const queue = waiting.get(service) ?? new Set<LoadRequest>();
        const ids = localServerIds(setup, service);
        for (const request of queue) {
          const [best] = ids
            .filter((id) => openAt(id) < perServer)
            .sort((left, right) => openAt(left) - openAt(right));
          if (best === undefined) return;
          open.set(best, openAt(best) + 1);
          queue.delete(request);
          actions.send(request, best);
        }
      };
      return {
        onRequest(request) {
          const queue = waiting.get(request.service) ?? new Set<LoadRequest>();
          waiting.set(request.service, queue);
          queue.add(request);
          fill(request.service);
        },
        onAttemptEnd(request, end) {
          if ('serverId' in end && end.serverId !== undefined) {
            open.set(end.serverId, openAt(end.serverId) - 1);
          }
          if (end.kind === 'crashed' || end.kind === 'unreachable') {
            actions.refuse(request, 'server failed');
          }
          fill(request.service);
        },
        onGone(request) {
          waiting.get(request.service)?.delete(request);
        },
      };
    },
  };
}
