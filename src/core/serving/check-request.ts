import type { Clock } from '../clock';
import type { ConfigurationStore } from '../configuration';
import { REFUSALS, RefusalError } from '../refusals';
import { allowedRegionsNow } from '../residency';
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

/**
 * Checks residency and deadline again. It runs at entry, on leaving a queue and before each send: a request
 * that waited through a tightening of its regions, or through its deadline, must not be sent after all.
 */
export function checkRequest(checks: RequestChecks, request: GatewayRequest): CheckedRequest {
  const current = checks.configuration.current() ?? request.configuration;
  const regions = allowedRegionsNow(current, request.caller.id, request.service.name);
  if (!regions.includes(checks.region)) {
    throw new RefusalError(REFUSALS.regionNotAllowed, {
      detail: `Allowed are: ${regions.join(', ') || 'none'}.`,
      step: 'check-residency',
      evidence: { kind: 'neverSent' },
    });
  }
  const timeLeftMs = Math.floor(request.deadlineAtMs - checks.clock.monotonicMs());
  if (timeLeftMs <= 0) {
    throw new RefusalError(REFUSALS.deadlineExceeded, {
      detail: 'The deadline passed before the request was sent on.',
      step: 'check-deadline',
      evidence: { kind: 'neverSent' },
    });
  }
  return { regions, timeLeftMs };
}
