import { randomBytes } from 'node:crypto';
import type { Clock } from '../clock';
import type { ConfigurationStore } from '../configuration';
import type { Logger } from '../events';
import type { MembershipView } from '../membership';
import type { PeerForwarder } from '../peers';
import { checkRegion } from '../serving';
import type { Serving } from '../serving';
import type { Settings } from '../settings';
import { createNonRepeatableServer, createTickets } from '../tickets';
import type { NonRepeatableOptions, NonRepeatableServer, Tickets } from '../tickets';

/** What tickets need from the rest of the instance. */
export interface TicketingOptions {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly incarnation: number;
  readonly configuration: ConfigurationStore;
  readonly membership: MembershipView;
  readonly forwarder: PeerForwarder;
  readonly serving: Serving;
}

/** Tickets of this process, and serving under them. */
export interface Ticketing {
  readonly tickets: Tickets;
  readonly serveNonRepeatable: NonRepeatableServer;
}

const KEY_BYTES = 32;
const TICKET_ID_BYTES = 16;

/** Ties tickets to serving and to the other instances. */
export function createTicketing(options: TicketingOptions): Ticketing {
  const { settings, clock, logger, incarnation, configuration, membership, forwarder } = options;
  const { instanceId, region, limits } = settings;
  const tickets = createTickets({
    clock,
    logger,
    instanceId,
    incarnation,
    key: randomBytes(KEY_BYTES),
    newTicketId: () => randomBytes(TICKET_ID_BYTES).toString('base64url'),
    limits: { records: limits.ticketRecords, heldBytes: limits.heldAnswersBytes },
    answerBytes: limits.heldAnswerBytes,
  });
  const check = (request: Parameters<NonRepeatableServer>[0], inRegion: string) =>
    checkRegion({ clock, configuration, region: inRegion }, request);

  const checkOwnerRegion: NonRepeatableOptions['checkOwnerRegion'] = (request, owner) => {
    check(request, region);
    check(request, owner.region);
  };

  const serveNonRepeatable = createNonRepeatableServer({
    tickets,
    membership,
    logger,
    run: (request, sink, signal) => options.serving.serve(request, sink, signal),
    checkOwnerRegion,
    forwardToOwner: (owner, ticket, request, sink, signal) => {
      const { instanceId: ownerId, peerAddress } = owner;
      const timeLeftMs = Math.floor(request.deadlineAtMs - clock.monotonicMs());
      const lastCheck = () => checkOwnerRegion(request, owner);
      const target = { instanceId: ownerId, peerAddress, timeLeftMs, signal, lastCheck, ticket };
      return forwarder.forward(target, request, sink);
    },
  });
  return { tickets, serveNonRepeatable };
}
