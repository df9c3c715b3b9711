import type { SendableDestination } from './destinations';
import { PLAN_HEADER, answerDeadlineMs, writePlan } from './forwarding';
import type { StreamProgress } from './stream-progress';
import type { HeaderDialect, InboundRequest, RequestPlan } from './types';

/** What the headers of an attempt depend on. */
export interface AttemptHeadersOptions {
  readonly dialect: HeaderDialect;
  readonly request: InboundRequest;
  readonly plan: RequestPlan;
  readonly to: SendableDestination;
  readonly progress: StreamProgress;
  /** Maximum number of backend servers that may get the request in this attempt. */
  readonly attemptsReserved: number;
}

/** Lowest priority that backend servers support. */
const LOWEST_PRIORITY = 9;

/** Returns the headers of one attempt: those of the caller, and those that its destination needs. */
export function attemptHeaders(options: AttemptHeadersOptions, nowMs: number): readonly string[] {
  const { dialect, request, plan, to, progress, attemptsReserved } = options;
  const remainingMs = Math.max(1, Math.floor(answerDeadlineMs(plan) - nowMs));
  const headers = [...request.headers, dialect.timeLeftMs, String(remainingMs)];
  if (progress.lastEventId !== undefined) headers.push('last-event-id', progress.lastEventId);
  if (to.kind === 'peer') {
    headers.push(PLAN_HEADER, writePlan(plan, attemptsReserved, nowMs));
    return headers;
  }
  headers.push(dialect.targetServer, to.server.serverId);
  if (plan.account !== undefined) headers.push(dialect.accountName, plan.account);
  if (to.copyFrom !== undefined) headers.push(dialect.copyPromptFrom, to.copyFrom.address);
  if (request.demand !== undefined) {
    headers.push(dialect.priority, String(Math.min(LOWEST_PRIORITY, plan.priority)));
  }
  return headers;
}
