import type { IncomingMessage, ServerResponse } from 'node:http';
import { createLedger } from './ledger';
import type { Ledger } from './ledger';
import { openStandIn, readAll, sendJson } from './listen';
import type { StandIn } from './listen';

/** Behaviour of a stand-in application; may be changed while it runs. */
export interface PlainBehaviour {
  /** Delay before each answer, ms. */
  answerDelayMs: number;
  /** `drop` runs the call, then drops the connection instead of answering; `silent` never answers. */
  after: 'answer' | 'drop' | 'silent';
  /** Status of refusals; the call is not run then. */
  refuseStatus: number | undefined;
}

/** A stand-in application that answers reads with its stock and records writes in its ledger. */
export interface PlainStandIn extends StandIn {
  readonly behaviour: PlainBehaviour;
  readonly ledger: Ledger;
}

/** Opens a stand-in application. */
export async function openPlainStandIn(
  behaviour: Partial<PlainBehaviour> = {},
  port = 0,
): Promise<PlainStandIn> {
  const ledger = createLedger();
  const current: PlainBehaviour = {
    answerDelayMs: 0,
    after: 'answer',
    refuseStatus: undefined,
    ...behaviour,
  };

  const handler = async (incoming: IncomingMessage, response: ServerResponse): Promise<void> => {
    const bodyText = (await readAll(incoming)).toString('utf8');
    if (incoming.url === '/healthz') {
      sendJson(response, 200, {});
      return;
    }
    if (current.refuseStatus !== undefined) {
      sendJson(response, current.refuseStatus, { error: 'refused' });
      return;
    }
    const idempotencyKey = incoming.headers['idempotency-key'];
    ledger.entries.push({
      requestId: String(incoming.headers['x-request-id']),
      idempotencyKey: typeof idempotencyKey === 'string' ? idempotencyKey : undefined,
      method: incoming.method ?? '',
      path: incoming.url ?? '',
      bodyText,
    });
    if (current.answerDelayMs > 0) {
      await new Promise((resolve) => {
        setTimeout(resolve, current.answerDelayMs);
      });
    }
    if (current.after === 'silent') return;
    if (current.after === 'drop') {
      response.destroy();
      return;
    }
    sendJson(response, 200, { path: incoming.url, run: ledger.entries.length, echo: bodyText });
  };

  const standIn = await openStandIn(handler, port);
  return { ...standIn, behaviour: current, ledger };
}
