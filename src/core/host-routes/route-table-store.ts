import { isDeepStrictEqual } from 'node:util';
import { createAccountIndex } from '../client-accounts';
import type { AccountIndex } from '../client-accounts';
import { createRouteSelector } from './select-route';
import type { RouteSelector } from './select-route';
import type { RouteTable } from './types';

/** The route table in force with its indexes. */
export interface RoutesInForce {
  readonly table: RouteTable;
  readonly selector: RouteSelector;
  /** Undefined if requests need no key. */
  readonly accounts: AccountIndex | undefined;
}

/** Holds the route table in force. */
export interface RouteTableStore {
  /** Returns the routes in force; undefined before the first table is accepted. */
  current(): RoutesInForce | undefined;
  /** Puts a table in force if its version is higher than the one in force. Returns whether it did. */
  offer(table: RouteTable): boolean;
  /** Like `offer`, for a rewritten table: different contents under the same version also replace those in force. */
  offerRewritten(table: RouteTable): boolean;
}

/**
 * Creates a store of the route table in force, which is empty until the first table is accepted.
 *
 * Versions reach an instance in several ways (a watch, a list read, another instance), and an older one can arrive
 * last. Reverting to it would send requests to services that an operator has already removed from a route. Therefore
 * an older version is never accepted.
 */
export function createRouteTableStore(): RouteTableStore {
  let inForce: RoutesInForce | undefined;
  const putInForce = (table: RouteTable): true => {
    const accounts = table.accounts === undefined ? undefined : createAccountIndex(table.accounts);
    inForce = { table, selector: createRouteSelector(table), accounts };
    return true;
  };
  return {
    current: () => inForce,
    offer: (table) =>
      inForce === undefined || table.version > inForce.table.version ? putInForce(table) : false,
    offerRewritten(table) {
      if (inForce === undefined || table.version > inForce.table.version) return putInForce(table);
      const isChanged =
        table.version === inForce.table.version && !isDeepStrictEqual(table, inForce.table);
      return isChanged ? putInForce(table) : false;
    },
  };
}
