import type { Logger } from '../events';
import type { MemberState, MembershipView } from '../membership';
import { RefusalError } from '../refusals';
import type { GatewayRequest, ResponseSink } from '../serving/types';
import { TICKET_EVENTS } from './events';
import type { Tickets } from './create-tickets';
import { notKnown, notMinting, ticketRequired, unreadable } from './refuse-ticket';
import type { RunCall } from './run-ticket';
import { readTicket } from './ticket-text';
import type { PresentedTicket } from './types';

/** Hands a presentation to the instance that owns its ticket. */
export type ForwardToOwner = (
  owner: MemberState,
  ticket: string,
  request: GatewayRequest,
  sink: ResponseSink,
  signal: AbortSignal,
) => Promise<void>;

/** What serving calls that may run at most once needs. */
export interface NonRepeatableOptions {
  readonly tickets: Tickets;
  readonly membership: MembershipView;
  readonly logger: Logger;
  readonly run: RunCall;
  /** Throws where the data of the request may not be in the region of this instance or of `owner`. */
  readonly checkOwnerRegion: (request: GatewayRequest, owner: MemberState) => void;
  readonly forwardToOwner: ForwardToOwner;
}

/** Serves calls that may run at most once. */
export type NonRepeatableServer = (
  request: GatewayRequest,
  ticket: string | undefined,
  sink: ResponseSink,
  signal: AbortSignal,
) => Promise<void>;

function ownerOf(presented: PresentedTicket, { membership }: NonRepeatableOptions) {
  return membership
    .members()
    .find(
      (member) =>
        member.instanceId === presented.ownerId &&
        member.incarnation === presented.incarnation &&
        member.status !== 'dead',
    );
}

/**
 * What this instance says when the owner gave no answer. Unless the owner itself vouches, an earlier
 * presentation may have run there, also when this one never left: the evidence of the hop says nothing.
 */
function withoutOwner(error: unknown): unknown {
  if (!(error instanceof RefusalError)) return error;
  const { kind } = error.evidence;
  if (kind === 'refusedByPeer' || kind === 'ranBefore') return error;
  return error.with({ evidence: { kind: 'ticketNotVouchedFor' }, cause: error });
}

/** Notes that a `notRun` comes from the owner's own records, which nothing but them can give. */
function vouched(error: unknown): unknown {
  if (!(error instanceof RefusalError) || error.outcome !== 'notRun') return error;
  return error.with({ evidence: { kind: 'vouchedByTicketOwner' } });
}

/** Adds a new ticket where a caller is told `notRun`. */
function withFreshTicket(error: unknown, request: GatewayRequest, tickets: Tickets): unknown {
  if (!(error instanceof RefusalError) || error.outcome !== 'notRun') return error;
  const { origin, caller, service } = request;
  if (origin.kind !== 'caller' || service.kind !== 'plain') return error;
  const binding = { callerId: caller.id, service: service.name };
  const minted = tickets.mint(binding, service.ticketValidMs);
  return minted === undefined ? error : error.with({ ticket: minted });
}

/**
 * What a presentation is told when it was refused before its ticket was looked up: for want of room, of a
 * configuration, of a key. Such a refusal proves that this presentation did not run, but an earlier one may
 * have; were it answered `notRun`, the caller would place the order again.
 */
export function refusedBeforeRecord(error: unknown): unknown {
  if (!(error instanceof RefusalError) || error.evidence.kind !== 'neverSent') return error;
  return error.with({ evidence: { kind: 'ticketNotVouchedFor' } });
}

/** Serves a call under its ticket: here if it is this process's own, else at its owner and nowhere else. */
export function createNonRepeatableServer(options: NonRepeatableOptions): NonRepeatableServer {
  const { tickets, logger, run, checkOwnerRegion, forwardToOwner } = options;

  const atOwner = async (
    presented: PresentedTicket,
    ticket: string,
    request: GatewayRequest,
    sink: ResponseSink,
    signal: AbortSignal,
  ): Promise<void> => {
    const owner = ownerOf(presented, options);
    // A presentation that came from a peer is never handed on again.
    if (owner === undefined || request.origin.kind === 'peer') {
      logger.event(TICKET_EVENTS.ownerNotReached, {
        requestId: request.requestId,
        owner: presented.ownerId,
      });
      throw notKnown('The instance that minted the ticket is gone or was replaced.');
    }
    try {
      checkOwnerRegion(request, owner);
      await forwardToOwner(owner, ticket, request, sink, signal);
    } catch (error) {
      throw withoutOwner(error);
    }
  };

  const present = async (
    ticket: string,
    request: GatewayRequest,
    sink: ResponseSink,
    signal: AbortSignal,
  ): Promise<void> => {
    const presented = readTicket(ticket);
    if (presented === undefined) throw unreadable();
    try {
      if (tickets.owns(presented)) await tickets.redeem(presented, request, sink, signal, run);
      else await atOwner(presented, ticket, request, sink, signal);
    } catch (error) {
      throw vouched(error);
    }
  };

  return async (request, ticket, sink, signal) => {
    try {
      if (ticket === undefined) throw ticketRequired();
      await present(ticket, request, sink, signal);
    } catch (error) {
      const told = withFreshTicket(error, request, tickets);
      const isRequired = ticket === undefined && told === error;
      throw isRequired && request.origin.kind === 'caller' ? notMinting() : told;
    }
  };
}
