import type { ServingDependencies } from './dependencies';
import { createAttemptRunner } from './run-attempt';
import { runAttempts } from './run-attempts';
import type { GatewayRequest, ResponseSink } from './types';

/** Serves requests, from callers and from peers alike. */
export interface Serving {
  /** Passes the whole answer to `sink`, or throws a `RefusalError`. `signal` aborts when the caller has gone. */
  serve(request: GatewayRequest, sink: ResponseSink, signal: AbortSignal): Promise<void>;
}

/** Serving over the given dependencies. */
export function createServing(dependencies: ServingDependencies): Serving {
  const runAttempt = createAttemptRunner(dependencies);
  return {
    serve: (request, sink, signal) => runAttempts(runAttempt, request, sink, signal),
  };
}
