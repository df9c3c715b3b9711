import type { ServerAnnouncement } from '..';

/** Returns the announcement of a ready server in region north; `overrides` replaces parts of it. */
export function readyServer(overrides: Partial<ServerAnnouncement> = {}): ServerAnnouncement {
  return {
    serverId: 's-1',
    startedAtUnixMs: undefined,
    softwareVersion: 'v1',
    service: 'app',
    address: '10.0.0.1:80',
    failureDomain: 'north-a',
    slots: 8,
    isDraining: false,
    coldForMs: 0,
    goneInMs: undefined,
    ...overrides,
  };
}
