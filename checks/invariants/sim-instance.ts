import type { CompiledConfiguration, ConfigurationStore } from '../../src/core/configuration';
import type { MemberState, MembershipView } from '../../src/core/membership';
import { createForwardedHandlers } from '../../src/core/node/serve-forwarded';
import type { ForwardedHandlers } from '../../src/core/node/serve-forwarded';
import { createPeerForwarder } from '../../src/core/peers';
import type { PeerForwarder } from '../../src/core/peers';
import { RefusalError } from '../../src/core/refusals';
import { checkRegion } from '../../src/core/serving';
import type { GatewayRequest } from '../../src/core/serving';
import {
  createNonRepeatableServer,
  createTickets,
  refusedBeforeRecord,
} from '../../src/core/tickets';
import type { NonRepeatableServer, Tickets } from '../../src/core/tickets';
import { createMemoryLogger } from '../../src/testing/memory-logger';
import { createMemorySink } from '../../src/testing/sample-request';
import type { Fleet } from './fleet';
import type { SimProcess } from './process';
import { createSimSender } from './sim-sender';
import { createSimServing } from './sim-serving';
import { createSimTransport } from './sim-transport';
import type { OpenCalls } from './sim-transport';

/** Request of a caller to an instance. */
export interface CallerRequest {
  readonly requestId: string;
  readonly callerId: string;
  readonly body: string;
  readonly ticket: string | undefined;
}

/** Answer to a caller. */
export type CallerReply =
  | { readonly kind: 'answer'; readonly text: string; readonly isWhole: boolean }
  | {
      readonly kind: 'refusal';
      readonly outcome: 'notRun' | 'ran' | 'unknown';
      readonly slug: string;
      readonly ticket: string | undefined;
    };

/** A simulated instance: the real tickets, forwarding and outcomes over a fake network. */
export interface SimInstance {
  readonly process: SimProcess;
  readonly handlers: ForwardedHandlers;
  readonly tickets: Tickets;
  configuration: CompiledConfiguration;
  /** Receives a request of a caller, as the HTTP edge does. */
  receive(request: CallerRequest, reply: (reply: CallerReply) => void, gone: AbortSignal): void;
}

/** Timeout for a complete answer, ms. */
export const REQUEST_DEADLINE_MS = 2_500;

function memberOf({ process, configuration }: SimInstance): MemberState {
  return {
    instanceId: process.name,
    incarnation: process.incarnation,
    sequence: 1,
    region: process.region,
    failureDomain: process.name,
    callerAddress: process.name,
    peerAddress: process.name,
    status: 'alive',
    configurationVersion: configuration.version,
    inFlightRequests: 0,
  };
}

/** Starts an instance in `process`. */
export function startSimInstance(fleet: Fleet, process: SimProcess): SimInstance {
  const { world, mutant } = fleet;
  const { clock, name, region } = process;
  const logger = createMemoryLogger();
  const openCalls: OpenCalls = new Set();
  let configuration = fleet.configurationOf(process);
  const store: ConfigurationStore = {
    ...fleet.emptyStore,
    current: () => configuration,
  };
  /** This process's view of the others; it learns of a replacement with a delay. */
  const believed = new Map<string, MemberState>();
  const membership: MembershipView = {
    ...fleet.emptyMembership,
    members: () => {
      for (const instance of fleet.instances.values()) {
        const known = believed.get(instance.process.name);
        const isNews = known?.incarnation !== instance.process.incarnation;
        if (known === undefined || (isNews && world.chance(0.5))) {
          believed.set(instance.process.name, memberOf(instance));
        }
      }
      return [...believed.values()];
    },
  };

  const transport = createSimTransport({
    world,
    process,
    openCalls,
    instanceAt: (address) => fleet.instances.get(address),
    noteForward: (to, message) => fleet.noteForward({ from: process, to, message, configuration }),
  });
  const forwarder: PeerForwarder = createPeerForwarder({
    transport: mutant.transport?.(transport, fleet) ?? transport,
    nowMs: () => clock.monotonicMs(),
    instanceId: name,
    incarnation: process.incarnation,
    incarnationOf: (id) => membership.members().find((one) => one.instanceId === id)?.incarnation,
  });
  const sender = createSimSender(
    world,
    process,
    (byte) => fleet.noteFirstByte({ ...byte, from: process, configuration }),
    mutant.readEnd ?? fleet.readEnd,
  );
  const serving = createSimServing({
    world,
    process,
    servers: fleet.servers,
    sender,
    forwarder,
    membership,
    regionsOf: (request) => checkRegion({ clock, configuration: store, region }, request),
    mutant,
  });

  const { ticketKey, ticketIncarnation } = fleet.secretsOf(process);
  let ticketCount = 0;
  const tickets = createTickets({
    clock,
    logger,
    instanceId: name,
    incarnation: ticketIncarnation,
    key: ticketKey,
    newTicketId: () => {
      ticketCount += 1;
      return `${name}-${process.incarnation}-${ticketCount}`;
    },
    limits: { records: 50, heldBytes: fleet.heldBytes },
    answerBytes: fleet.heldBytes,
  });
  const checkOwnerRegion = (request: GatewayRequest, owner: MemberState): void => {
    checkRegion({ clock, configuration: store, region }, request);
    checkRegion({ clock, configuration: store, region: owner.region }, request);
  };
  const serveNonRepeatable: NonRepeatableServer = createNonRepeatableServer({
    tickets,
    membership,
    logger,
    run: (request, sink, signal) => serving.serve(request, sink, signal),
    checkOwnerRegion,
    forwardToOwner: (owner, ticket, request, sink, signal) =>
      forwarder.forward(
        {
          instanceId: owner.instanceId,
          peerAddress: owner.peerAddress,
          timeLeftMs: Math.floor(request.deadlineAtMs - clock.monotonicMs()),
          signal,
          lastCheck: () => checkOwnerRegion(request, owner),
          ticket,
        },
        request,
        sink,
      ),
  });
  const handlers = createForwardedHandlers({
    clock,
    incarnation: process.incarnation,
    configuration: store,
    serving,
    serveNonRepeatable,
  });

  const toRequest = ({ requestId, callerId, body }: CallerRequest): GatewayRequest => {
    const caller = configuration.callerById(callerId);
    const service = configuration.serviceNamed('orders');
    if (caller === undefined || service === undefined) throw new Error('not in the configuration');
    return {
      requestId,
      attempt: 1,
      origin: { kind: 'caller' },
      caller,
      service,
      method: 'POST',
      path: '/place',
      headers: [],
      body: Buffer.from(body),
      deadlineAtMs: clock.monotonicMs() + REQUEST_DEADLINE_MS,
      configuration,
    };
  };

  const serveCaller = async (request: CallerRequest, gone: AbortSignal): Promise<CallerReply> => {
    const sink = createMemorySink();
    try {
      const read = toRequest(request);
      checkRegion({ clock, configuration: store, region }, read);
      await serveNonRepeatable(read, request.ticket, sink, gone);
      return { kind: 'answer', text: sink.text(), isWhole: sink.ends === 1 };
    } catch (error) {
      if (sink.headSent) return { kind: 'answer', text: sink.text(), isWhole: false };
      const told = request.ticket === undefined ? error : refusedBeforeRecord(error);
      if (!(told instanceof RefusalError)) throw told;
      const { outcome, definition, ticket } = told;
      return { kind: 'refusal', outcome, slug: definition.slug, ticket: ticket?.ticket };
    }
  };

  return {
    process,
    handlers: mutant.handlers?.(handlers) ?? handlers,
    tickets,
    get configuration() {
      return configuration;
    },
    set configuration(next) {
      configuration = next;
    },
    receive(request, reply, gone) {
      serveCaller(request, gone).then(reply, (error: unknown) => {
        fleet.noteFault(`${name} failed: ${String(error)}`);
      });
    },
  };
}
