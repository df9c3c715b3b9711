import type { AttemptRunner } from './run-attempt';
import type { GatewayRequest, ResponseSink } from './types';

/** Makes as many attempts at a request as it may have; for now exactly one. */
export async function runAttempts(
  runAttempt: AttemptRunner,
  request: GatewayRequest,
  sink: ResponseSink,
  signal: AbortSignal,
): Promise<void> {
  await runAttempt(request, sink, signal);
}
