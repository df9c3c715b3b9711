import type { Clock } from '../clock';
import type { ConfigurationStore } from '../configuration';
import { REFUSALS, RefusalError } from '../refusals';
import { currentlyAllowedRegions } from '../residency';
import { isNonRepeatable } from '../tickets';
import type { GatewayRequest } from './types';

/** What the checks need. */
export interface RequestChecks {
  readonly clock: Clock;
  readonly region: string;
  readonly configuration: ConfigurationStore;
}

/** What still holds of a request right before it is placed or sent. */
export interface CheckedRequest {
  /** Regions in which its data may be, by the configuration in force now. */
  readonly regions: readonly string[];
  readonly timeLeftMs: number;
}

const neverSent = { kind: 'neverSent' } as const;

function currentConfiguration({ configuration }: RequestChecks, request: GatewayRequest) {
  return configuration.current() ?? request.configuration;
}

/** The regions in which the data may be now; throws where this region, or the one asked about, is not among them. */
export function checkRegion(checks: RequestChecks, request: GatewayRequest): readonly string[] {
  const current = currentConfiguration(checks, request);
  const regions = currentlyAllowedRegions(current, request.caller.id, request.service.name);
  if (regions.includes(checks.region)) return regions;
  throw new RefusalError(REFUSALS.regionNotAllowed, {
    detail: `Allowed are: ${regions.join(', ') || 'none'}.`,
    step: 'check-residency',
    evidence: neverSent,
  });
}

/** Throws where a rule for non-repeatable calls came into force while the request waited without a ticket. */
function checkTicket(checks: RequestChecks, request: GatewayRequest): void {
  if (request.guard?.idempotencyKey !== undefined) return;
  const { service, method, path } = request;
  const current = currentConfiguration(checks, request).serviceNamed(service.name);
  if (current === undefined || !isNonRepeatable(current, method, path)) return;
  throw new RefusalError(REFUSALS.ticketRequired, {
    detail: 'The configuration now asks for a ticket; the call was not sent to any server.',
    step: 'check-ticket',
    evidence: neverSent,
  });
}

function checkDeadline({ clock }: RequestChecks, { deadlineAtMs }: GatewayRequest): number {
  const timeLeftMs = Math.floor(deadlineAtMs - clock.monotonicMs());
  if (timeLeftMs > 0) return timeLeftMs;
  throw new RefusalError(REFUSALS.deadlineExceeded, {
    detail: 'The deadline passed before the request was sent on.',
    step: 'check-deadline',
    evidence: neverSent,
  });
}

/**
 * Checks residency, the need of a ticket, and the deadline again. It runs at entry, on leaving a queue and
 * before each send: a request that waited through a tightening of its regions, or through its deadline, must
 * not be sent after all.
 */
export function checkRequest(checks: RequestChecks, request: GatewayRequest): CheckedRequest {
  const regions = checkRegion(checks, request);
  checkTicket(checks, request);
  return { regions, timeLeftMs: checkDeadline(checks, request) };
}
