import type { HostRoute, RouteTable } from './types';

/** Selects routes from one version of the route table. */
export interface RouteSelector {
  /** Returns the route of the host with the longest prefix that matches the path; undefined if none matches. */
  select(host: string, path: string): HostRoute | undefined;
  /**
   * Returns the regions that are allowed by the largest number of the host's region-bound routes; empty if no route is
   * bound to regions.
   */
  homeRegions(host: string): readonly string[];
}

const PORT_SUFFIX = /:\d+$/;

function withoutQuery(path: string): string {
  const queryAt = path.indexOf('?');
  return queryAt === -1 ? path : path.slice(0, queryAt);
}

function normalizeHost(host: string): string {
  return host.toLowerCase().replace(PORT_SUFFIX, '');
}

/** Creates a selector that indexes a table by host, longest prefix first, so that a lookup ends at the first match. */
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
      return byHost
        .get(normalizeHost(host))
        ?.find((route) => pathOnly.startsWith(route.pathPrefix));
    },
    homeRegions(host) {
      const bound = (byHost.get(normalizeHost(host)) ?? []).filter(
        (route) => route.homeRegions.length > 0,
      );
      const counts = new Map<string, number>();
      for (const region of bound.flatMap((route) => route.homeRegions)) {
        counts.set(region, (counts.get(region) ?? 0) + 1);
      }
      const maxCount = Math.max(0, ...counts.values());
      return [...counts].filter(([, count]) => count === maxCount).map(([region]) => region);
    },
  };
}

/** Picks the service of one request by the weights of the targets; `draw` is a random number in [0, 1). */
export function pickTarget(route: HostRoute, draw: number): string | undefined {
  const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
  let remaining = draw * total;
  for (const target of route.targets) {
    remaining -= target.weight;
    if (remaining < 0) return target.service;
  }
  return route.targets.at(-1)?.service;
}
