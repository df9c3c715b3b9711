import type { CancelRequest, ForwardRequest } from '../../gen/forward_pb';
import type { Clock } from '../clock';
import type { ConfigurationStore } from '../configuration';
import { attemptIdOf, createForwardLedger } from '../peers';
import { REFUSALS, RefusalError } from '../refusals';
import type { GatewayRequest, ResponseSink, SendGuard, Serving } from '../serving';
import { refusedBeforeRecord } from '../tickets';
import type { NonRepeatableServer } from '../tickets';

/** What serving for peers needs. */
export interface ForwardedOptions {
  readonly clock: Clock;
  readonly incarnation: number;
  readonly configuration: ConfigurationStore;
  readonly serving: Serving;
  readonly serveNonRepeatable: NonRepeatableServer;
}

/** Answers for peers. */
export interface ForwardedHandlers {
  serveForwarded(message: ForwardRequest, sink: ResponseSink, signal: AbortSignal): Promise<void>;
  cancel(message: CancelRequest): boolean;
}

/** Turns a peer's message into a request of this instance; refuses what this instance can't place. */
function toGatewayRequest(
  message: ForwardRequest,
  store: ConfigurationStore,
  deadlineAtMs: number,
  guard: SendGuard,
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
    deadlineAtMs,
    configuration,
    guard,
  };
}

/**
 * What a peer is told when an earlier send of the attempt may have run. The last failure may be one to connect,
 * which alone proves that nothing ran; passed on, the peer would vouch to its caller for the whole attempt.
 */
function withoutVouching(error: unknown): unknown {
  if (!(error instanceof RefusalError) || error.outcome !== 'notRun') return error;
  return error.with({ evidence: { kind: 'lostAfterSending', cause: 'aborted' } });
}

/** Takes each attempt in once, and serves it from this region. */
export function createForwardedHandlers(options: ForwardedOptions): ForwardedHandlers {
  const { clock, incarnation, configuration, serving, serveNonRepeatable } = options;
  const ledger = createForwardLedger({ incarnation, nowMs: () => clock.monotonicMs() });

  const takeIn = async (
    message: ForwardRequest,
    sink: ResponseSink,
    signal: AbortSignal,
  ): Promise<void> => {
    const deadlineAtMs = clock.monotonicMs() + message.timeLeftMs;
    const key = message.idempotencyKey === '' ? undefined : message.idempotencyKey;
    // The ledger comes first: a repeated message must never be answered "not run" for another reason.
    const guard = ledger.receive(attemptIdOf(message), deadlineAtMs, key);
    try {
      const request = toGatewayRequest(message, configuration, deadlineAtMs, guard);
      if (message.ticket === '') await serving.serve(request, sink, signal);
      else await serveNonRepeatable(request, message.ticket, sink, signal);
    } catch (error) {
      throw guard.mayHaveRun ? withoutVouching(error) : error;
    } finally {
      guard.finish();
    }
  };

  return {
    async serveForwarded(message, sink, signal) {
      try {
        await takeIn(message, sink, signal);
      } catch (error) {
        throw message.ticket === '' ? error : refusedBeforeRecord(error);
      }
    },
    cancel: (message) => ledger.cancel(attemptIdOf(message)),
  };
}
