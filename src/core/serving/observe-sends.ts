import type { ServerSender } from '../backends';
import type { Clock } from '../clock';
import type { ConfigurationStore } from '../configuration';
import type { ObservedAttempt, OutlierTracker } from '../outliers';
import type { PoisonGuard } from '../poison';
import { REFUSALS, RefusalError } from '../refusals';
import { currentlyAllowedRegions } from '../residency';
import type { GatewayRequest, ResponseHead, ResponseSink } from './types';

/** What learns from each send. */
export interface SendObservers {
  readonly clock: Clock;
  readonly poison: PoisonGuard;
  readonly outliers: OutlierTracker;
  readonly configuration: ConfigurationStore;
}

/** Statuses from here on speak of a broken server, unless the configuration says they mean "not run". */
const FIRST_SERVER_ERROR_STATUS = 500;
/** Body that makes one unit of work for the comparison of servers, bytes. */
const BYTES_PER_WORK_UNIT = 16_384;

function regionsOf(configuration: ConfigurationStore, request: GatewayRequest): readonly string[] {
  const current = configuration.current() ?? request.configuration;
  return currentlyAllowedRegions(current, request.caller.id, request.service.name);
}

function isServerError({ status }: ResponseHead, { service }: GatewayRequest): boolean {
  const meansNotRun = service.kind === 'plain' && service.notRunStatuses.includes(status);
  return status >= FIRST_SERVER_ERROR_STATUS && !meansNotRun;
}

/** Passes everything on to `sink` and tells the observed try of it. */
function observeSink(
  sink: ResponseSink,
  observed: ObservedAttempt,
  request: GatewayRequest,
  clock: Clock,
): ResponseSink {
  return {
    get headSent() {
      return sink.headSent;
    },
    sendHead(head) {
      observed.headReceived(clock.monotonicMs(), isServerError(head, request));
      sink.sendHead(head);
    },
    sendChunk(chunk) {
      observed.partsReceived(1);
      return sink.sendChunk(chunk);
    },
    end: () => sink.end(),
    abort: (reason) => sink.abort(reason),
  };
}

/** A sender that tells the observers how each send to a server went. */
export function observeSends(
  sender: Pick<ServerSender, 'send'>,
  { clock, poison, outliers, configuration }: SendObservers,
): Pick<ServerSender, 'send'> {
  return {
    async send(target, request, sink) {
      const { serverId, signal } = target;
      const watched = poison.watch(request, serverId, regionsOf(configuration, request));
      // An instance sends to servers of its own region only, so a service's servers are those to compare.
      const server = { serverId, group: request.service.name };
      const workUnits = 1 + request.body.length / BYTES_PER_WORK_UNIT;
      const observed = outliers.begin(server, workUnits, clock.monotonicMs());
      try {
        await sender.send(target, request, observeSink(sink, observed, request, clock));
        watched.answered();
        observed.ended(clock.monotonicMs());
      } catch (error) {
        const isOfServer =
          error instanceof RefusalError && error.definition === REFUSALS.serverFailed;
        if (isOfServer && !signal.aborted) {
          const failure = error.evidence.kind === 'neverSent' ? 'unreachable' : 'broken';
          watched.failed(error.evidence);
          observed.failed(clock.monotonicMs(), failure);
        } else {
          watched.abandoned();
          observed.abandoned(clock.monotonicMs());
        }
        throw error;
      }
    },
  };
}
