import type { HostRoute, RouteTable } from './types';

/** Finds routes of one version. */
export interface RouteSelector {
  /** The route of the host whose prefix is the longest that begins the path; undefined where none does. */
  select(host: string, path: string): HostRoute | undefined;
  /** Regions in which the most bound routes of the host may be served; empty where none is bound. */
  homeRegions(host: string): readonly string[];
}

const PORT_SUFFIX = /:\d+$/;

function withoutQuery(path: string): string {
  const queryAt = path.indexOf('?');
  return queryAt === -1 ? path : path.slice(0, queryAt);
}

function nameOf(host: string): string {
  return host.toLowerCase().replace(PORT_SUFFIX, '');
}

/** Indexes a table by host, the longest prefix first, so that a look-up ends at the first match. */
export function createRouteSelector(table: RouteTable): RouteSelector {
  const byHost = new Map<string, HostRoute[]>();
  for (const route of table.routes) {
    const routes = byHost.get(route.host) ?? [];
    routes.push(route);
    byHost.set(route.host, routes);
  }
  for (const routes of byHost.values()) {
    routes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
  }
  return {
    select(host, path) {
      const pathOnly = withoutQuery(path);
      return byHost.get(nameOf(host))?.find((route) => pathOnly.startsWith(route.pathPrefix));
    },
    homeRegions(host) {
      const bound = (byHost.get(nameOf(host)) ?? []).filter(
        (route) => route.homeRegions.length > 0,
      );
      const counts = new Map<string, number>();
      for (const region of bound.flatMap((route) => route.homeRegions)) {
        counts.set(region, (counts.get(region) ?? 0) + 1);
      }
      const most = Math.max(0, ...counts.values());
      return [...counts].filter(([, count]) => count === most).map(([region]) => region);
    },
  };
}

/** Picks the service of one request; `draw` is from 0 up to 1. */
export function pickTarget(route: HostRoute, draw: number): string | undefined {
  const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
  let left = draw * total;
  for (const target of route.targets) {
    left -= target.weight;
    if (left < 0) return target.service;
  }
  return route.targets.at(-1)?.service;
}
