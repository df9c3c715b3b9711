import { handlingRegions, identify } from '../client-accounts';
import type { HeaderMap } from '../exchanges';
import { pickTarget } from '../host-routes';
import type { HostRoute, RoutesInForce } from '../host-routes';
import type { RandomSource } from '../random';
import { headerText } from './classify-answer';
import { chargeFor } from './charge-quota';
import type { RequestCharge } from './charge-quota';
import type { HeaderDialect, RefusalReason, RequestPlan } from './types';

/** Plan of a request, and its charge against the quota of its client account. */
export interface ChargedPlan {
  readonly plan: RequestPlan;
  readonly charge: RequestCharge;
}

/** Reason why no plan could be made for a request. */
export interface RefusedPlan {
  readonly refused: RefusalReason;
}

/** Makes the plan of one request from its headers and its route. */
export type RequestPlanner = (
  headers: HeaderMap,
  route: HostRoute,
  inForce: RoutesInForce,
  receivedAtMs: number,
) => ChargedPlan | RefusedPlan;

/** Time until the caller gives up, ms: the default, and the maximum that a request may state. */
const MAX_TIME_LEFT_MS = 600_000;

function parseTimeLeftMs(text: string | undefined): number {
  // An empty text would count as the number 0, and the request would time out at once.
  const value = text === undefined || text.trim() === '' ? NaN : Number(text);
  if (!Number.isFinite(value) || value < 0) return MAX_TIME_LEFT_MS;
  return Math.min(MAX_TIME_LEFT_MS, value);
}

/**
 * Creates a planner that applies the client account of the caller and the routes in force when the
 * request is read.
 */
export function createRequestPlanner(dialect: HeaderDialect, random: RandomSource): RequestPlanner {
  return (headers, route, { table, accounts }, receivedAtMs) => {
    const service = pickTarget(route, random.next());
    if (service === undefined) return { refused: 'noSuchRoute' };
    const key = headerText(headers[dialect.accountKey]);
    const identity = identify({ accounts, isPublicRoute: route.isPublic, key });
    if (identity.kind === 'unknown') return { refused: 'unknownKey' };
    const account = identity.kind === 'account' ? identity.account : undefined;
    const allowedRegions = handlingRegions(route.homeRegions, account?.homeRegions ?? []);
    if (allowedRegions.kind === 'nowhere') return { refused: 'noRegion' };
    const charge = chargeFor(account, headers, dialect);
    if (charge.kind === 'malformed') return { refused: 'malformedRequest' };
    const timeLeftMs = parseTimeLeftMs(headerText(headers[dialect.timeLeftMs]));
    const plan: RequestPlan = {
      route: route.name,
      account: account?.name,
      service,
      kind: route.kind,
      isResumable: route.isResumable,
      priority: account?.priority ?? route.priority,
      objectiveMs: route.objectiveMs,
      pauseObjectiveMs: route.pauseObjectiveMs,
      maxAttempts: route.maxAttempts,
      homeRegions: allowedRegions.kind === 'only' ? allowedRegions.regions : [],
      routesVersion: table.version,
      deadlineAtMs: receivedAtMs + timeLeftMs,
      timeoutAtMs: receivedAtMs + route.timeoutMs,
      isForwarded: false,
    };
    return { plan, charge };
  };
}
