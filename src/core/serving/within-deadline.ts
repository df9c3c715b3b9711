import type { Clock } from '../clock';
import { REFUSALS, RefusalError } from '../refusals';
import type { GatewayRequest } from './types';

function deadlineExceeded(error: RefusalError): RefusalError {
  return new RefusalError(REFUSALS.deadlineExceeded, {
    detail: `The deadline passed; ${error.message}`,
    step: error.step,
    ...(error.peer === undefined ? {} : { peer: error.peer }),
    evidence: error.evidence,
    retryAtUnixMs: error.retryAtUnixMs,
    cause: error,
  });
}

/**
 * Runs `serve` with a signal that aborts at the request's deadline as well. Without it a server that sends a
 * byte now and then, or a peer whose process is stopped, would hold a request for as long as it likes.
 */
export async function withinDeadline(
  clock: Clock,
  request: GatewayRequest,
  signal: AbortSignal,
  serve: (signal: AbortSignal) => Promise<void>,
): Promise<void> {
  const stopped = new AbortController();
  const stop = () => stopped.abort();
  let isLate = false;
  const timer = clock.schedule(request.deadlineAtMs, () => {
    isLate = true;
    stop();
  });
  if (signal.aborted) stop();
  else signal.addEventListener('abort', stop, { once: true });
  try {
    await serve(stopped.signal);
  } catch (error) {
    throw isLate && error instanceof RefusalError ? deadlineExceeded(error) : error;
  } finally {
    timer[Symbol.dispose]();
    signal.removeEventListener('abort', stop);
  }
}
