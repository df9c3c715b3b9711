import type { ServerSender } from '../backends';
import type { PeerForwarder } from '../peers';
import { REFUSALS, RefusalError } from '../refusals';
import type { ServerAvailability } from '../server-health';
import type { GatewayRequest } from '../serving';
import type { PauseGuard } from './create-pause-guard';

/** What is looked at again before something is sent that a pause has overtaken. */
export interface SendChecks {
  readonly pauses: Pick<PauseGuard, 'isStale' | 'requireFresh'>;
  readonly availability: Pick<ServerAvailability, 'takesNewWork'>;
  /** Throws where the data or the deadline no longer allows the send; gives the time that is left. */
  readonly check: (request: GatewayRequest) => { readonly timeLeftMs: number };
}

/**
 * The last gate before a request leaves this process. Routing decided where it goes; if the process stood still
 * since, the server may be gone, the data barred from here and the deadline over, and a request that was given
 * up on elsewhere would run after all.
 */
export function guardSender(sender: ServerSender, checks: SendChecks): ServerSender {
  return {
    async send(target, request, sink) {
      if (!checks.pauses.isStale()) {
        await sender.send(target, request, sink);
        return;
      }
      await checks.pauses.requireFresh();
      const { timeLeftMs } = checks.check(request);
      if (!checks.availability.takesNewWork(target.serverId)) {
        throw new RefusalError(REFUSALS.noServer, {
          detail: 'The server left while this instance stood still.',
          step: 'refresh-after-pause',
          peer: target.serverId,
          evidence: { kind: 'neverSent' },
        });
      }
      await sender.send({ ...target, timeLeftMs }, request, sink);
    },
    [Symbol.asyncDispose]: () => sender[Symbol.asyncDispose](),
  };
}

/** As `guardSender`, for what goes to another instance. */
export function guardForwarder<Forwarder extends PeerForwarder>(
  forwarder: Forwarder,
  checks: Pick<SendChecks, 'pauses' | 'check'>,
): Forwarder {
  return {
    ...forwarder,
    async forward(target, request, sink) {
      if (!checks.pauses.isStale()) {
        await forwarder.forward(target, request, sink);
        return;
      }
      await checks.pauses.requireFresh();
      const { timeLeftMs } = checks.check(request);
      await forwarder.forward({ ...target, timeLeftMs }, request, sink);
    },
  };
}
