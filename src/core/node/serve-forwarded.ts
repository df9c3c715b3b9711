import type { ForwardRequest } from '../../gen/forward_pb';
import type { Clock } from '../clock';
import type { ConfigurationStore } from '../configuration';
import { REFUSALS, RefusalError } from '../refusals';
import type { GatewayRequest } from '../serving';

/** Turns a peer's message into a request of this instance; refuses what this instance can't place. */
export function toGatewayRequest(
  message: ForwardRequest,
  store: ConfigurationStore,
  clock: Clock,
): GatewayRequest {
  const configuration = store.current();
  const caller = configuration?.callerById(message.callerId);
  const service = configuration?.serviceNamed(message.service);
  if (configuration === undefined || caller === undefined || service === undefined) {
    throw new RefusalError(REFUSALS.notReady, {
      detail: 'The caller or service is not in the configuration in force here.',
      step: 'serve-forwarded',
      evidence: { kind: 'neverSent' },
    });
  }
  return {
    requestId: message.requestId,
    attempt: message.attempt,
    origin: { kind: 'peer', instanceId: message.fromInstanceId },
    caller,
    service,
    method: message.method,
    path: message.path,
    headers: message.headers,
    body: message.body,
    deadlineAtMs: clock.monotonicMs() + message.timeLeftMs,
    configuration,
  };
}
