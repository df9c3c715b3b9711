import { REFUSALS, RefusalError } from '../refusals';
import type { Serving } from '../serving';
import type { Draining } from './create-draining';

/** Wraps `serving` to count open requests, so that a planned stop waits for them. */
export function countServing(serving: Serving, draining: Draining): Serving {
  return {
    async serve(request, sink, signal) {
      draining.recordArrival();
      const open = draining.begin(request.origin.kind);
      try {
        await serving.serve(request, sink, signal);
      } finally {
        open[Symbol.dispose]();
      }
    },
  };
}

/**
 * Wraps `serving` to count open requests, and to refuse new ones after the notice of a planned stop.
 *
 * The refusal has the outcome `notRun`: no part of the request has been passed on, so its caller or the peer that
 * forwarded it may send it elsewhere at once.
 */
export function gateServing(serving: Serving, draining: Draining): Serving {
  const counted = countServing(serving, draining);
  return {
    async serve(request, sink, signal) {
      if (draining.phase() !== 'refusing') {
        await counted.serve(request, sink, signal);
        return;
      }
      draining.recordArrival();
      draining.recordRefusal();
      throw new RefusalError(REFUSALS.notReady, {
        detail: 'This instance is stopping.',
        step: 'drain',
        evidence: { kind: 'neverSent' },
      });
    },
  };
}
