import { isDeepStrictEqual } from 'node:util';
import { createAccountIndex } from '../client-accounts';
import type { AccountIndex } from '../client-accounts';
import { createRouteSelector } from './select-route';
import type { RouteSelector } from './select-route';
import type { RouteTable } from './types';

/** The version in force with its index. */
export interface RoutesInForce {
  readonly table: RouteTable;
  readonly selector: RouteSelector;
  /** Undefined where requests need no key. */
  readonly accounts: AccountIndex | undefined;
}

/** Holds the version in force. */
export interface RouteTableStore {
  current(): RoutesInForce | undefined;
  /** Puts a version in force unless it is older than the one that is; says whether it did. */
  offer(table: RouteTable): boolean;
  /** The same, for a version that was written anew: its contents go before others under the same number. */
  offerAgain(table: RouteTable): boolean;
}

/**
 * A store without a version.
 *
 * Versions reach an instance by several ways (a watch, a list read, another instance), and an older one can
 * come last. Going back would send requests to services that an operator has already taken out of a route, so
 * only a higher version is ever taken.
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
    offerAgain(table) {
      if (inForce === undefined || table.version > inForce.table.version) return putInForce(table);
      const isAnother =
        table.version === inForce.table.version && !isDeepStrictEqual(table, inForce.table);
      return isAnother ? putInForce(table) : false;
    },
  };
}
