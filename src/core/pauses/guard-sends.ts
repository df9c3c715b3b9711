import type { SendTarget, ServerSender } from '../backends';
import type { PeerForwarder } from '../peers';
import { REFUSALS, RefusalError } from '../refusals';
import type { ServerAvailability } from '../server-health';
import type { GatewayRequest } from '../serving';
import type { PauseGuard } from './create-pause-guard';

/** What is looked at again before something is sent that a pause has overtaken. */
export interface SendChecks {
  readonly pauses: Pick<PauseGuard, 'isStale' | 'requireFresh' | 'pauseCount'>;
  readonly availability: Pick<ServerAvailability, 'takesNewWork'>;
  /** Throws where the data or the deadline no longer allows the send; gives the time that is left. */
  readonly check: (request: GatewayRequest) => { readonly timeLeftMs: number };
}

/** A pause in the middle of connecting: nothing has left yet, so the attempt ends and is made anew. */
function overtaken(peer: string): RefusalError {
  return new RefusalError(REFUSALS.noServer, {
    detail: 'This instance stood still before the request had left.',
    step: 'refresh-after-pause',
    peer,
    evidence: { kind: 'neverSent' },
  });
}

/**
 * The last gate before a request leaves this process. Routing decided where it goes; if the process stood still
 * since, the server may be gone, the data barred from here and the deadline over, and a request that was given
 * up on elsewhere would run after all.
 */
export function guardSender(sender: ServerSender, checks: SendChecks): ServerSender {
  const { pauses, availability, check } = checks;

  const refresh = async (target: SendTarget, request: GatewayRequest): Promise<SendTarget> => {
    await pauses.requireFresh();
    const { timeLeftMs } = check(request);
    if (availability.takesNewWork(target.serverId)) return { ...target, timeLeftMs };
    throw new RefusalError(REFUSALS.noServer, {
      detail: 'The server left while this instance stood still.',
      step: 'refresh-after-pause',
      peer: target.serverId,
      evidence: { kind: 'neverSent' },
    });
  };

  return {
    async send(target, request, sink) {
      const fresh = pauses.isStale() ? await refresh(target, request) : target;
      const pauseCount = pauses.pauseCount();
      const lastCheck = () => {
        if (pauses.pauseCount() !== pauseCount) throw overtaken(target.serverId);
        target.lastCheck();
      };
      await sender.send({ ...fresh, lastCheck }, request, sink);
    },
    [Symbol.asyncDispose]: () => sender[Symbol.asyncDispose](),
  };
}

/** As `guardSender`, for what goes to another instance. */
export function guardForwarder<Forwarder extends PeerForwarder>(
  forwarder: Forwarder,
  { pauses, check }: Pick<SendChecks, 'pauses' | 'check'>,
): Forwarder {
  return {
    ...forwarder,
    async forward(target, request, sink) {
      let { timeLeftMs } = target;
      if (pauses.isStale()) {
        await pauses.requireFresh();
        // A presented ticket is judged by its owner; only the region counts here, and the last check sees to it.
        if (target.ticket === undefined) ({ timeLeftMs } = check(request));
      }
      const pauseCount = pauses.pauseCount();
      const lastCheck = () => {
        if (pauses.pauseCount() !== pauseCount) throw overtaken(target.instanceId);
        target.lastCheck();
      };
      await forwarder.forward({ ...target, timeLeftMs, lastCheck }, request, sink);
    },
  };
}
