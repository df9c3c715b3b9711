import { currentResilience } from '../configuration';
import { createRetryBudget } from '../retries';
import { serveStream } from '../streams';
import type { ServingDependencies } from './dependencies';
import { observeSends } from './observe-sends';
import { createAttemptRunner } from './run-attempt';
import { runAttempts } from './run-attempts';
import type { GatewayRequest, ResponseSink } from './types';
import { withinDeadline } from './within-deadline';

/** Serves requests, from callers and from peers alike. */
export interface Serving {
  /** Passes the whole answer to `sink`, or throws a `RefusalError`. `signal` aborts when the caller has gone. */
  serve(request: GatewayRequest, sink: ResponseSink, signal: AbortSignal): Promise<void>;
}

/** Serving over the given dependencies. */
export function createServing(dependencies: ServingDependencies): Serving {
  const { clock, random, logger, configuration, poison, outliers } = dependencies;
  const sender = observeSends(dependencies.sender, {
    clock,
    poison,
    outliers,
    configuration,
  });
  const attempts = {
    clock,
    random,
    logger,
    poison,
    record: dependencies.record,
    runAttempt: createAttemptRunner({ ...dependencies, sender }),
    retryBudget: createRetryBudget(() => currentResilience(configuration).retries),
  };
  const serveLeg: Serving['serve'] = (request, sink, signal) =>
    runAttempts(attempts, request, sink, signal);
  const streams = { clock, logger, serveLeg };
  const serveWhole: Serving['serve'] = (request, sink, signal) => {
    // Only the instance that the caller asked puts an answer together; a peer passes its part on as it is.
    const isWholeHere = request.service.kind === 'model' && request.origin.kind === 'caller';
    if (!isWholeHere) return serveLeg(request, sink, signal);
    return serveStream(streams, request, sink, signal);
  };
  return {
    serve: (request, sink, signal) =>
      withinDeadline(clock, request, signal, (stopSignal) => serveWhole(request, sink, stopSignal)),
  };
}
