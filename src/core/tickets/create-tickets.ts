import type { Clock } from '../clock';
import type { Logger } from '../events';
import type { GatewayRequest, ResponseSink } from '../serving/types';
import { digestOfCall } from './call-digest';
import { TICKET_EVENTS } from './events';
import { answerFromRecord, expiredUnseen, mismatch, noRoom, notKnown } from './refuse-ticket';
import { replayAnswer } from './recording-sink';
import { runTicket } from './run-ticket';
import type { RunCall } from './run-ticket';
import { createTicketGuard } from './ticket-guard';
import { createTicketRecord } from './ticket-record';
import { SWEEP_INTERVAL_MS, createTicketRecords } from './ticket-records';
import type { RecordLimits } from './ticket-records';
import { isGenuine, writeTicket } from './ticket-text';
import type { TicketBinding } from './ticket-text';
import type { MintedTicket, PresentedTicket, TicketCounts, TicketRecord } from './types';

/** What tickets are made from. */
export interface TicketsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly instanceId: string;
  readonly incarnation: number;
  /** Secret of this process, from a cryptographic source; it is never written anywhere. */
  readonly key: Uint8Array;
  /** Makes an id that cannot be guessed and no other ticket has. */
  readonly newTicketId: () => string;
  readonly limits: RecordLimits;
  /** Largest answer that is held, bytes. */
  readonly answerBytes: number;
}

/** One-use tickets of this process. */
export interface Tickets {
  /** A new ticket, to be redeemed within `validMs`; undefined once this instance is stopping. */
  mint(binding: TicketBinding, validMs: number): MintedTicket | undefined;
  /** Whether this process, and no earlier one of its name, is the owner that the ticket names. */
  owns(presented: PresentedTicket): boolean;
  /**
   * Runs the call if the ticket was never presented, joins its run if it is running, else answers from the
   * record. Throws a `RefusalError` when there is no answer to give.
   */
  redeem(
    presented: PresentedTicket,
    request: GatewayRequest,
    sink: ResponseSink,
    signal: AbortSignal,
    run: RunCall,
  ): Promise<void>;
  /** No ticket is minted after this; those that were are still redeemed. */
  stopMinting(): void;
  /** Latest time at which a ticket of this process may still be redeemed, on the monotonic clock. */
  lastExpiryAtMs(): number;
  counts(): TicketCounts;
}

/** Tickets of a new process. */
export function createTickets(options: TicketsOptions): Tickets {
  const { clock, logger, instanceId, incarnation, key, answerBytes } = options;
  const records = createTicketRecords(options.limits);
  let minting = true;
  let lastExpiryAtMs = 0;

  /** Everything from the look-up to the record is synchronous: two presentations can't both find none. */
  const begin = (presented: PresentedTicket, request: GatewayRequest) => {
    const nowMs = clock.monotonicMs();
    const callDigest = digestOfCall(request);
    const known = records.find(presented.ticketId);
    if (known !== undefined) {
      if (known.callDigest !== callDigest) throw mismatch();
      return { kind: 'known', record: known } as const;
    }
    if (nowMs >= presented.expiresAtMs) throw expiredUnseen(presented, nowMs);
    const record = createTicketRecord(presented, callDigest);
    if (!records.add(record, nowMs)) throw noRoom(clock.unixMs() + SWEEP_INTERVAL_MS);
    return { kind: 'first', record } as const;
  };

  const noteEnd = (record: TicketRecord, { requestId }: GatewayRequest) => {
    const { ticketId, state } = record;
    records.noteEnd(record, clock.monotonicMs());
    logger.event(TICKET_EVENTS.ended, {
      requestId,
      ticketId,
      end: state.kind === 'refused' ? state.refusal.outcome : state.kind,
    });
  };

  return {
    mint(binding, validMs) {
      if (!minting) return undefined;
      const expiresAtMs = Math.floor(clock.monotonicMs()) + validMs;
      lastExpiryAtMs = Math.max(lastExpiryAtMs, expiresAtMs);
      const claims = {
        ownerId: instanceId,
        incarnation,
        ticketId: options.newTicketId(),
        expiresAtMs,
      };
      return {
        ticket: writeTicket(key, claims, binding),
        expiresAtUnixMs: Math.floor(clock.unixMs()) + validMs,
      };
    },
    owns: (presented) => presented.ownerId === instanceId && presented.incarnation === incarnation,
    async redeem(presented, request, sink, signal, run) {
      const binding = { callerId: request.caller.id, service: request.service.name };
      if (!isGenuine(key, presented, binding)) {
        throw notKnown('The ticket was not minted here for this caller and service.');
      }
      const begun = begin(presented, request);
      const { record } = begun;
      logger.event(TICKET_EVENTS.presented, {
        requestId: request.requestId,
        ticketId: record.ticketId,
        found: begun.kind === 'first' ? 'nothing' : record.state.kind,
      });
      if (begun.kind === 'known') {
        await answerFromRecord(record, sink, signal);
        return;
      }
      const guard = createTicketGuard({
        ...record,
        deadlineAtMs: request.deadlineAtMs,
        nowMs: () => clock.monotonicMs(),
      });
      const end = await runTicket({ record, guard, request, sink, signal, run, answerBytes });
      noteEnd(record, request);
      if (end.kind === 'refused') throw end.refusal;
      if (end.kind === 'held') await replayAnswer(end.answer, sink);
    },
    stopMinting() {
      minting = false;
    },
    lastExpiryAtMs: () => lastExpiryAtMs,
    counts: () => records.counts(),
  };
}
