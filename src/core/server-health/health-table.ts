import { evaluateOwnHealth } from './evaluate-health';
import {
  createRecord,
  needsAttention,
  isSuspect,
  withHealthState,
  withAnswer,
  withListStatus,
  withPeerStatement,
  withObservation,
} from './server-record';
import type { ServerRecord } from './server-record';
import { slowStartShare } from './slow-start';
import type {
  CheckedServer,
  ListStatus,
  PeerStatement,
  ServerObservation,
  HealthState,
} from './types';

/** Health records of all servers. It has no timers and no connections: the time is passed in. */
export interface HealthTable {
  /** Replaces the servers with those of a configuration. Servers with an unchanged address keep their records. */
  replaceServers(servers: readonly CheckedServer[], nowMs: number): void;
  servers(): readonly CheckedServer[];
  server(serverId: string): CheckedServer | undefined;
  /** Servers with a failure, a statement of a peer or a health state other than usable. */
  serversNeedingAttention(): readonly CheckedServer[];
  /** Records the result of a health check, or the state that a server reported on any answer. */
  observe(serverId: string, observation: ServerObservation, nowMs: number): void;
  /** Records a good answer to a request, which is no health check but shows that the server is alive. */
  recordAnswer(serverId: string, nowMs: number): void;
  recordListStatus(serverId: string, status: ListStatus, nowMs: number): void;
  recordPeerStatement(serverId: string, statement: PeerStatement, nowMs: number): void;
  /** Evaluates health states again where only time has passed: statements may have expired. */
  refresh(nowMs: number): void;
  healthState(serverId: string): HealthState;
  /** Whether this instance has evidence of its own against the server, and so checks it even when not on duty. */
  isSuspect(serverId: string): boolean;
  /** Returns the health state without the statements of peers, which is what this instance reports to them. */
  ownHealth(serverId: string, nowMs: number): OwnHealth;
  /** Returns the share of its usual work that the server gets: 0 when unusable, less than 1 in its slow start. */
  share(serverId: string, nowMs: number): number;
}

/** Health state of a server as this instance itself observed it, and the incarnation to which it applies. */
export interface OwnHealth {
  readonly healthState: HealthState;
  readonly incarnation: string | undefined;
}

/** Called each time the health state of a server changes. */
export type HealthListener = (server: CheckedServer, healthState: HealthState) => void;

const USABLE: HealthState = { kind: 'usable' };

/** Creates an empty table that calls `onChange` on each change of a health state. */
export function createHealthTable(onChange: HealthListener): HealthTable {
  let records = new Map<string, ServerRecord>();
  const attentionIds = new Set<string>();
  let isFirstConfiguration = true;

  const update = (
    serverId: string,
    nowMs: number,
    apply: (record: ServerRecord) => ServerRecord,
  ): void => {
    const previous = records.get(serverId);
    if (previous === undefined) return;
    const next = withHealthState(apply(previous), nowMs);
    records.set(serverId, next);
    if (needsAttention(next)) attentionIds.add(serverId);
    else attentionIds.delete(serverId);
    if (next.healthState.kind !== previous.healthState.kind) {
      onChange(next.server, next.healthState);
    }
  };

  return {
    replaceServers(servers, nowMs) {
      // The servers of the first configuration are not cold: only this instance has just started.
      const slowStartAtMs = isFirstConfiguration ? undefined : nowMs;
      isFirstConfiguration = false;
      records = new Map(
        servers.map((server) => {
          const previous = records.get(server.serverId);
          const hasSameAddress = previous?.server.address === server.address;
          return [
            server.serverId,
            hasSameAddress ? { ...previous, server } : createRecord(server, slowStartAtMs),
          ];
        }),
      );
      attentionIds.clear();
      for (const [id, record] of records) if (needsAttention(record)) attentionIds.add(id);
    },
    servers: () => [...records.values()].map((record) => record.server),
    server: (serverId) => records.get(serverId)?.server,
    serversNeedingAttention: () =>
      [...attentionIds].flatMap((serverId) => records.get(serverId)?.server ?? []),
    observe: (serverId, observation, nowMs) =>
      update(serverId, nowMs, (record) => withObservation(record, observation, nowMs)),
    recordAnswer: (serverId, nowMs) =>
      update(serverId, nowMs, (record) => withAnswer(record, nowMs)),
    recordListStatus: (serverId, status, nowMs) =>
      update(serverId, nowMs, (record) => withListStatus(record, status)),
    recordPeerStatement: (serverId, statement, nowMs) =>
      update(serverId, nowMs, (record) => withPeerStatement(record, statement)),
    refresh(nowMs) {
      for (const serverId of [...attentionIds]) update(serverId, nowMs, (record) => record);
    },
    healthState: (serverId) => records.get(serverId)?.healthState ?? USABLE,
    isSuspect(serverId) {
      const record = records.get(serverId);
      return record !== undefined && isSuspect(record);
    },
    ownHealth(serverId, nowMs) {
      const record = records.get(serverId);
      if (record === undefined) return { healthState: USABLE, incarnation: undefined };
      const healthState = evaluateOwnHealth(record.evidence, nowMs);
      return { healthState, incarnation: record.evidence.incarnation };
    },
    share(serverId, nowMs) {
      const record = records.get(serverId);
      if (record === undefined) return 1;
      if (record.healthState.kind !== 'usable') return 0;
      if (record.slowStartAtMs === undefined) return 1;
      return slowStartShare(record.slowStartAtMs, record.server.rules.slowStartMs, nowMs);
    },
  };
}
