import type { AnswerListener, Exchange } from '../exchanges';
import type { KnownServer } from '../server-registry';
import type { WarmCheck } from './warm-check';

/** How a request is sent once its server is known to be warm. */
export interface WarmSend {
  readonly check: WarmCheck;
  readonly server: KnownServer;
  /** Connections that may be open to the server at once. */
  readonly mostConnections: number;
  /** Sends the request; undefined where no connection is free. */
  readonly send: () => Exchange | undefined;
  readonly onEnd: AnswerListener['onEnd'];
  /** The server has become cold; nothing was sent to it. */
  readonly onCold: () => void;
}

/** Sends a request at once, or after a check where one is needed. The exchange it returns covers both. */
export function sendWhenWarm(options: WarmSend): Exchange {
  const { check, server, send, onEnd, onCold } = options;
  let current: Pick<Exchange, 'abort'> | undefined;
  let sent: Exchange | undefined;
  let isGivenUp = false;

  const sendNow = (): void => {
    sent = send();
    current = sent;
    if (sent === undefined) onEnd({ kind: 'neverSent', reason: 'no connection is free' });
  };

  if (check.isNeeded(server)) {
    current = check.ask(server, options.mostConnections, (result) => {
      if (isGivenUp) {
        onEnd({ kind: 'neverSent', reason: 'given up before it was sent' });
        return;
      }
      switch (result.kind) {
        case 'warm':
          sendNow();
          return;
        case 'replaced':
          // The one that has its address refuses the request, and is known for it from then on.
          sendNow();
          return;
        case 'cold':
          onCold();
          return;
        case 'unanswered':
          onEnd({ kind: 'neverSent', reason: `no word on whether it is cold: ${result.reason}` });
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
      isGivenUp = true;
      current?.abort(cause);
    },
    pause: () => sent?.pause(),
    resume: () => sent?.resume(),
  };
}
