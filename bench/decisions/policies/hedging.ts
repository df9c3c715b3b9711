import type { LoadRequest, Policy, PolicyFactory, PolicySetup } from '../harness';

/**
 * Least in flight with hedges: a request without a first token after `hedgeAfterMs` is sent to a second server as
 * well, and the first answer counts. Hedges are paid for by requests, at most `share` of them. Weighed against
 * outlier ejection; the running instance makes no hedges.
 */
export function hedging(hedgeAfterMs: number, share: number): PolicyFactory {
  return {
    name: `hedge-after-${hedgeAfterMs}`,
    create: (setup) => createPolicy(setup, hedgeAfterMs, share),
  };
}

function createPolicy(setup: PolicySetup, hedgeAfterMs: number, share: number): Policy {
  const { actions, instance } = setup;
  const open = new Map<string, number>();
  const waiting = new Map<number, string>();
  let budget = 0;
  const openAt = (serverId: string) => open.get(serverId) ?? 0;

  const sendTo = (request: LoadRequest, besides: string | undefined): string | undefined => {
    const [first, ...rest] = setup.servers
      .filter((server) => server.service === request.service && server.region === instance.region)
      .map(({ serverId }) => serverId)
      .filter((serverId) => serverId !== besides);
    if (first === undefined) return undefined;
    const best = rest.reduce((least, id) => (openAt(id) < openAt(least) ? id : least), first);
    open.set(best, openAt(best) + 1);
    actions.send(request, best);
    return best;
  };

  const hedge = (request: LoadRequest) => {
    const serverId = waiting.get(request.requestId);
    if (serverId === undefined || budget < 1) return;
    budget -= 1;
    sendTo(request, serverId);
  };

  return {
    onRequest(request) {
      budget = Math.min(10, budget + share);
      const serverId = sendTo(request, undefined);
      if (serverId === undefined) {
        actions.refuse(request, 'no server');
        return;
      }
      waiting.set(request.requestId, serverId);
      actions.wakeAt(actions.nowMs() + hedgeAfterMs, () => hedge(request));
    },
    onFirstToken(request) {
      waiting.delete(request.requestId);
    },
    onAttemptEnd(request, end) {
      waiting.delete(request.requestId);
      if ('serverId' in end && end.serverId !== undefined) {
        open.set(end.serverId, openAt(end.serverId) - 1);
      }
      if (end.kind === 'crashed' || end.kind === 'unreachable') {
        actions.refuse(request, 'server failed');
      }
    },
    onGone(request) {
      waiting.delete(request.requestId);
    },
  };
}
