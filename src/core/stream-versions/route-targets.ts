import type { RouteTable, RouteTableStore } from '../host-routes';
import { createAnnouncedVersions } from '../server-registry';
import type { VersionedServers } from './version-history';

/** The services to which routes with resumable streams lead, now and in earlier tables, in place of versions. */
export interface RouteTargets extends VersionedServers {
  /** Records a table that is or was in force. */
  record(table: RouteTable, nowMs: number): void;
  /** Version of the table in force; 0 if there is none. */
  tableVersion(): number;
}

function targetsOf(table: RouteTable): readonly { service: string; softwareVersion: string }[] {
  return table.routes
    .filter(({ kind, isResumable }) => kind === 'stream' && isResumable)
    .flatMap(({ name, targets }) =>
      targets.map(({ service }) => ({ service: name, softwareVersion: service })),
    );
}

/**
 * Lists routes as if they were services, and the services to which they lead as if these were versions: what two
 * services write fits together no better than what two versions do.
 */
export function createRouteTargets(routes: Pick<RouteTableStore, 'current'>): RouteTargets {
  const earlier = createAnnouncedVersions();
  let recorded = 0;
  const tableVersion = (): number => routes.current()?.table.version ?? 0;
  return {
    record(table, nowMs) {
      recorded += 1;
      for (const { service, softwareVersion } of targetsOf(table)) {
        earlier.record(service, softwareVersion, nowMs);
      }
    },
    tableVersion,
    all() {
      const table = routes.current()?.table;
      return table === undefined ? [] : targetsOf(table);
    },
    announcedVersions: earlier.all,
    changes: () => recorded + tableVersion(),
  };
}
