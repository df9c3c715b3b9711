import { EVENTS_PER_STREAM } from './promises';
import type { BrokenPromise, CallerAttempt } from './types';

/** Checks the numbers of the events that a caller got of a stream, over all its attempts. */

const COMPLETE_EVENT = /^id: (\d+)\ndata: [^\n]*\n\n/gmu;

function eventIdsIn(body: string): readonly number[] {
  return [...body.matchAll(COMPLETE_EVENT)].map(([, id]) => Number(id));
}

/** Checks the attempts of one stream, in order of time. */
function judgeStream(attempts: readonly CallerAttempt[]): readonly BrokenPromise[] {
  let last = 0;
  for (const { requestId, body, isWhole } of attempts) {
    for (const eventId of eventIdsIn(body)) {
      if (eventId !== last + 1) {
        const detail = `event ${eventId} after event ${last}`;
        return [{ promise: 'streamOutOfOrder', requestId, detail }];
      }
      last = eventId;
    }
    if (isWhole && last !== EVENTS_PER_STREAM) {
      const detail = `whole after event ${last}`;
      return [{ promise: 'streamEndsEarly', requestId, detail }];
    }
  }
  return [];
}

/** Checks that no event is missing, comes twice or goes back, and that no stream looks whole before its last event. */
export function checkStreamOrder(attempts: readonly CallerAttempt[]): readonly BrokenPromise[] {
  const streams = new Map<string, CallerAttempt[]>();
  const served = attempts.filter(({ kind, status }) => kind === 'stream' && status === 200);
  for (const attempt of [...served].sort((left, right) => left.atMs - right.atMs)) {
    const first = attempt.takesUp?.firstRequestId ?? attempt.requestId;
    streams.set(first, [...(streams.get(first) ?? []), attempt]);
  }
  return [...streams.values()].flatMap(judgeStream);
}
