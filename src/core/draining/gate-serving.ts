import { REFUSALS, RefusalError } from '../refusals';
import type { Serving } from '../serving';
import type { Draining } from './create-draining';

/**
 * Serving behind the planned stop: counts what is open, and refuses what comes after the stop was told.
 *
 * The refusal is a true "not run": nothing of the request has been passed on, so its caller or the peer that
 * forwarded it may send it elsewhere at once.
 */
export function gateServing(serving: Serving, draining: Draining): Serving {
  return {
    async serve(request, sink, signal) {
      draining.noteArrival();
      if (draining.phase() === 'refusing') {
        draining.noteRefused();
        throw new RefusalError(REFUSALS.notReady, {
          detail: 'This instance is stopping.',
          step: 'drain',
          evidence: { kind: 'neverSent' },
        });
      }
      const open = draining.begin(request.origin.kind);
      try {
        await serving.serve(request, sink, signal);
      } finally {
        open[Symbol.dispose]();
      }
    },
  };
}
