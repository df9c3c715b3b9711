import { handlingRegions, identify } from '../client-accounts';
import type { HeaderMap } from '../exchanges';
import { pickTarget } from '../host-routes';
import type { HostRoute, RoutesInForce } from '../host-routes';
import type { RandomSource } from '../random';
import { headerText } from './judge-answer';
import { chargeFor } from './quota-gate';
import type { RequestCharge } from './quota-gate';
import type { HeaderDialect, RefusalReason, RequestPlan } from './types';

/** What is planned for a request, and what it costs. */
export interface ChargedPlan {
  readonly plan: RequestPlan;
  readonly charge: RequestCharge;
}

/** Why no plan could be made for a request. */
export interface RefusedPlan {
  readonly refused: RefusalReason;
}

/** Plans one request by its headers and its route. */
export type RequestPlanner = (
  headers: HeaderMap,
  route: HostRoute,
  inForce: RoutesInForce,
  receivedAtMs: number,
) => ChargedPlan | RefusedPlan;

/** Deadline of a request that states none, and the longest that one may state. */
const LONGEST_DEADLINE_MS = 600_000;

function statedTimeLeftMs(text: string | undefined): number {
  const value = Number(text);
  if (text === undefined || !Number.isFinite(value) || value < 0) return LONGEST_DEADLINE_MS;
  return Math.min(LONGEST_DEADLINE_MS, value);
}

/** Plans requests by who sends them and by what is in force when they are read. */
export function createRequestPlanner(dialect: HeaderDialect, random: RandomSource): RequestPlanner {
  return (headers, route, { table, accounts }, receivedAtMs) => {
    const service = pickTarget(route, random.next());
    if (service === undefined) return { refused: 'noSuchRoute' };
    const key = headerText(headers[dialect.accountKey]);
    const identity = identify({ accounts, isPublicRoute: route.isPublic, key });
    if (identity.kind === 'unknown') return { refused: 'unknownKey' };
    const account = identity.kind === 'account' ? identity.account : undefined;
    const handled = handlingRegions(route.homeRegions, account?.homeRegions ?? []);
    if (handled.kind === 'nowhere') return { refused: 'noRegion' };
    const charge = chargeFor(account, headers, dialect);
    if (charge.kind === 'malformed') return { refused: 'malformedRequest' };
    const timeLeftMs = statedTimeLeftMs(headerText(headers[dialect.timeLeftMs]));
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
      homeRegions: handled.kind === 'only' ? handled.regions : [],
      routesVersion: table.version,
      deadlineAtMs: receivedAtMs + timeLeftMs,
      timeoutAtMs: receivedAtMs + route.timeoutMs,
      isForwarded: false,
    };
    return { plan, charge };
  };
}
