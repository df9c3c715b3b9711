import { z } from 'zod';
import type { InboundRequest, RequestPlan } from './types';

/** What an instance tells another beside the request itself, when that one is to serve it in its region. */

/** Header that holds the plan. */
export const PLAN_HEADER = 'coltsfootworks-plan';
/** Header of the other instance's refusals: what became of the request. */
export const OUTCOME_HEADER = 'coltsfootworks-outcome';
/** Header of the other instance's answers: backend servers that it had sent the request to when the answer began. */
export const ATTEMPTS_HEADER = 'coltsfootworks-attempts';

const planSchema = z.object({
  route: z.string(),
  account: z.string().optional(),
  service: z.string(),
  kind: z.enum(['idempotent', 'nonIdempotent', 'stream']),
  isResumable: z.boolean(),
  priority: z.number(),
  objectiveMs: z.number(),
  pauseObjectiveMs: z.number().optional(),
  maxAttempts: z.number(),
  homeRegions: z.array(z.string()),
  routesVersion: z.number(),
  /** Time until the caller gives up; clocks of two instances cannot be compared. */
  timeLeftMs: z.number(),
  timeoutLeftMs: z.number(),
});

/** The plan as the value of a header. */
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

/** The plan in a header; undefined for one that no instance wrote. */
export function readPlan(text: string, nowMs: number): RequestPlan | undefined {
  let parsed: unknown;
  try {
    parsed = JSON.parse(text);
  } catch {
    return undefined;
  }
  const reading = planSchema.safeParse(parsed);
  if (!reading.success) return undefined;
  const { timeLeftMs, timeoutLeftMs, pauseObjectiveMs, account, ...rest } = reading.data;
  return {
    ...rest,
    account,
    pauseObjectiveMs,
    deadlineAtMs: nowMs + timeLeftMs,
    timeoutAtMs: nowMs + timeoutLeftMs,
    isForwarded: true,
  };
}

/** Requests that servers treat alike. */
export function alikeKey({ service, priority, objectiveMs }: RequestPlan): string {
  return `${service}/${priority}/${objectiveMs}`;
}

/** Whether a request may be sent again after it may have run. */
export function isRepeatable({ kind, isResumable }: RequestPlan): boolean {
  return kind === 'idempotent' || (kind === 'stream' && isResumable);
}

/** When the request has to be answered at the latest, monotonic ms. */
export function answerByMs({ deadlineAtMs, timeoutAtMs }: RequestPlan): number {
  return Math.min(deadlineAtMs, timeoutAtMs);
}

/** What a request is called in log lines. */
export function requestFields(request: InboundRequest, plan: RequestPlan) {
  return {
    requestId: request.requestId,
    account: plan.account,
    route: plan.route,
    service: plan.service,
    routesVersion: plan.routesVersion,
  };
}
