import { REFUSALS, RefusalError } from '../refusals';
import type { Serving } from '../serving';
import type { Draining } from './create-draining';

/** Serving that counts what is open, so that a planned stop waits for it. */
export function countServing(serving: Serving, draining: Draining): Serving {
  return {
    async serve(request, sink, signal) {
      draining.noteArrival();
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
 * Serving behind the planned stop: counts what is open, and refuses what comes after the stop was told.
 *
 * The refusal is a true "not run": nothing of the request has been passed on, so its caller or the peer that
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
      draining.noteArrival();
      draining.noteRefused();
      throw new RefusalError(REFUSALS.notReady, {
        detail: 'This instance is stopping.',
        step: 'drain',
        evidence: { kind: 'neverSent' },
      });
    },
  };
}
