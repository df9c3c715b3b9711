/** Routes by host and path, in numbered versions that only increase. */
export { createRouteTableStore } from './route-table-store';
export type { RouteTableStore, RoutesInForce } from './route-table-store';
export { createRouteSelector, pickTarget } from './select-route';
export type { RouteSelector } from './select-route';
export type {
  ClientLimits,
  HostRoute,
  RouteKind,
  RouteTable,
  RouteTarget,
  RoutedService,
} from './types';
