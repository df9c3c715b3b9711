import { z } from 'zod';
import { parseJsonText } from '../json-text';
import type { InboundRequest, RequestPlan } from './types';

/**
 * Data that an instance sends along with a request when another instance is to serve it in its
 * region.
 */

/** Header that holds the plan of a forwarded request. */
export const PLAN_HEADER = 'coltsfootworks-plan';
/** Header of the other instance's refusals: the outcome of the request. */
export const OUTCOME_HEADER = 'coltsfootworks-outcome';
/**
 * Header of the other instance's answers: the number of backend servers that it had sent the
 * request to when the answer began.
 */
export const ATTEMPTS_HEADER = 'coltsfootworks-attempts';

/** Header of the other instance's streams: the software version of the server that began the stream. */
export const STREAM_VERSION_HEADER = 'coltsfootworks-stream-version';

/** Header of the other instance's refusals: the reason. */
export const REASON_HEADER = 'coltsfootworks-reason';

/** Reasons of another instance's refusals that decide where the request goes next. */
const decisiveReasonSchema = z.enum(['suspectedOfCrashes', 'serversUnreachable']);

/** Reason of another instance's refusal that decides where the request goes next. */
export type DecisiveReason = z.output<typeof decisiveReasonSchema>;

/** Returns the reason if it decides where the request goes next; undefined for any other. */
export function readDecisiveReason(text: string | undefined): DecisiveReason | undefined {
  return decisiveReasonSchema.safeParse(text).data;
}

const planSchema = z.object({
  route: z.string(),
  account: z.string().optional(),
  service: z.string(),
  /** See `RequestPlan.streamVersion`. */
  streamVersion: z.string().optional(),
  kind: z.enum(['idempotent', 'nonIdempotent', 'stream']),
  isResumable: z.boolean(),
  priority: z.number(),
  objectiveMs: z.number(),
  pauseObjectiveMs: z.number().optional(),
  maxAttempts: z.number(),
  homeRegions: z.array(z.string()),
  routesVersion: z.number(),
  /**
   * Time until the caller gives up, ms. Relative, because the clocks of two instances cannot be
   * compared.
   */
  timeLeftMs: z.number(),
  timeoutLeftMs: z.number(),
  /** See `RequestPlan.unsureMs`. */
  unsureMs: z.number().optional(),
  /** See `RequestPlan.isHedge`. */
  isHedge: z.boolean().optional(),
});

/** Returns the plan as a header value. */
export function writePlan(plan: RequestPlan, maxAttempts: number, nowMs: number): string {
  const { deadlineAtMs, timeoutAtMs, isForwarded, ...rest } = plan;
  const message: z.input<typeof planSchema> = {
    ...rest,
    homeRegions: [...plan.homeRegions],
    maxAttempts,
    timeLeftMs: deadlineAtMs - nowMs,
    timeoutLeftMs: timeoutAtMs - nowMs,
  };
  return JSON.stringify(message);
}

/** Parses the plan from a header value; undefined if the value is not one that instances write. */
export function readPlan(text: string, nowMs: number, unsureMs = 0): RequestPlan | undefined {
  const plan = parseJsonText(planSchema, text);
  if (plan === undefined) return undefined;
  const { timeLeftMs, timeoutLeftMs, pauseObjectiveMs, account, ...rest } = plan;
  return {
    ...rest,
    account,
    pauseObjectiveMs,
    deadlineAtMs: nowMs + timeLeftMs,
    timeoutAtMs: nowMs + timeoutLeftMs,
    unsureMs: (plan.unsureMs ?? 0) + unsureMs,
    isForwarded: true,
  };
}

/** Returns a key that is equal for requests that servers treat alike. */
export function requestClassKey({ service, priority, objectiveMs }: RequestPlan): string {
  return `${service}/${priority}/${objectiveMs}`;
}

/**
 * Returns the key of requests that take the same time by nature; undefined for one that states its prompt, whose time is
 * predicted from that.
 */
export function ownTimeKey(
  { demand }: InboundRequest,
  { service, route }: RequestPlan,
): string | undefined {
  return demand === undefined || demand.promptTokens === 0 ? `${service}/${route}` : undefined;
}

/** Returns whether a request may be sent again after it may have run. */
export function isRepeatable({ kind, isResumable }: RequestPlan): boolean {
  return kind === 'idempotent' || (kind === 'stream' && isResumable);
}

/** Returns the deadline for the answer, monotonic ms. */
export function answerDeadlineMs({ deadlineAtMs, timeoutAtMs }: RequestPlan): number {
  return Math.min(deadlineAtMs, timeoutAtMs);
}

/**
 * Returns the time at which an answer that has not arrived is given up, monotonic ms: the latest at which the deadline may be.
 * An instance whose event loop is late only estimates when a request arrived. If it ended answers at the estimated deadline,
 * callers that still wait would find them closed.
 */
export function endAtMs(plan: RequestPlan): number {
  return answerDeadlineMs(plan) + (plan.unsureMs ?? 0);
}

/** Returns the fields that identify a request in log lines. */
export function requestFields(request: InboundRequest, plan: RequestPlan) {
  return {
    requestId: request.requestId,
    account: plan.account,
    route: plan.route,
    service: plan.service,
    routesVersion: plan.routesVersion,
  };
}
