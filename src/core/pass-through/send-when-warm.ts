import type { AnswerListener, Exchange } from '../exchanges';
import type { KnownServer } from '../server-registry';
import type { WarmCheck } from './warm-check';

/** Options of `sendWhenWarm`. */
export interface SendWhenWarmOptions {
  readonly check: WarmCheck;
  /** Whether the server may still get a request after the check. */
  readonly mayReceive: (server: KnownServer) => boolean;
  readonly server: KnownServer;
  /** Maximum number of open connections to the server. */
  readonly maxConnections: number;
  /** Sends the request; returns undefined if no connection is free. */
  readonly send: () => Exchange | undefined;
  readonly onEnd: AnswerListener['onEnd'];
  /** Called if the server may get no request any more, for example because it is cold; none was sent to it. */
  readonly onUnusable: (reason: string) => void;
}

/**
 * Sends a request immediately, or after a check if one is needed. Aborting the returned exchange
 * aborts the check or the request, whichever is in progress.
 */
export function sendWhenWarm(options: SendWhenWarmOptions): Exchange {
  const { check, server, send, onEnd, onUnusable } = options;
  let current: Pick<Exchange, 'abort'> | undefined;
  let sent: Exchange | undefined;
  let isAborted = false;

  const sendNow = (): void => {
    sent = send();
    current = sent;
    if (sent === undefined) onEnd({ kind: 'neverSent', reason: 'no connection is free' });
  };

  if (check.isNeeded(server)) {
    current = check.ask(server, options.maxConnections, (result) => {
      if (isAborted) {
        onEnd({ kind: 'neverSent', reason: 'aborted before it was sent' });
        return;
      }
      switch (result.kind) {
        case 'warm':
          if (options.mayReceive(server)) sendNow();
          else onUnusable('the server went out of use before the request was sent');
          return;
        case 'replaced':
          // The server that now has the address rejects the request, which reveals the replacement.
          sendNow();
          return;
        case 'cold':
          onUnusable('the server is cold');
          return;
        case 'unanswered':
          onEnd({
            kind: 'neverSent',
            reason: `the check for a cold server failed: ${result.reason}`,
          });
          return;
        default:
          result satisfies never;
      }
    });
  } else {
    sendNow();
  }

  return {
    abort(cause) {
      isAborted = true;
      current?.abort(cause);
    },
    abortEndless: (endless) => sent?.abortEndless(endless),
    discardRest: (clock, closeByMs) => sent?.discardRest(clock, closeByMs),
    pause: () => sent?.pause(),
    resume: () => sent?.resume(),
  };
}
