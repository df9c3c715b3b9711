import { judgeOwnHealth } from './judge-health';
import {
  createRecord,
  isConcerned,
  isQuestioned,
  judged,
  withAnswer,
  withListStatus,
  withMark,
  withObservation,
} from './server-record';
import type { ServerRecord } from './server-record';
import { slowStartShare } from './slow-start';
import type { CheckedServer, ListStatus, PeerMark, ServerObservation, HealthState } from './types';

/** What is known of each server. It holds no timers and no connections: times are handed in. */
export interface HealthTable {
  /** Takes over the servers of a configuration; those that stay keep what is known of them. */
  replaceServers(servers: readonly CheckedServer[], nowMs: number): void;
  servers(): readonly CheckedServer[];
  server(serverId: string): CheckedServer | undefined;
  /** Servers of which anything but good is known; most of the time few, however many servers there are. */
  concerned(): readonly CheckedServer[];
  /** Takes in a health check, or what a server says of itself on any answer. */
  observe(serverId: string, observation: ServerObservation, nowMs: number): void;
  /** Takes in that a request had a good answer: no health check, but the server lives. */
  noteAnswer(serverId: string, nowMs: number): void;
  noteList(serverId: string, status: ListStatus, nowMs: number): void;
  noteMark(serverId: string, mark: PeerMark, nowMs: number): void;
  /** Judges again what only time has changed: statements that have expired. */
  refresh(nowMs: number): void;
  healthState(serverId: string): HealthState;
  /** Whether this instance has reason of its own to check the server, beside its duties. */
  isQuestioned(serverId: string): boolean;
  /** What this instance vouches for, with the server's start that it holds for. */
  ownHealth(serverId: string, nowMs: number): OwnHealth;
  /** Share of its usual work that the server gets: 0 when unusable, less than 1 in its slow start. */
  share(serverId: string, nowMs: number): number;
}

/** A health state with the start of the server for which it holds. */
export interface OwnHealth {
  readonly healthState: HealthState;
  readonly incarnation: string | undefined;
}

/** Told each time a server's health state changes. */
export type HealthListener = (server: CheckedServer, healthState: HealthState) => void;

const USABLE: HealthState = { kind: 'usable' };

/** An empty table; `onChange` hears of each change of health state. */
export function createHealthTable(onChange: HealthListener): HealthTable {
  let records = new Map<string, ServerRecord>();
  const concerned = new Set<string>();
  let isFirst = true;

  const change = (
    serverId: string,
    nowMs: number,
    apply: (entry: ServerRecord) => ServerRecord,
  ): void => {
    const previous = records.get(serverId);
    if (previous === undefined) return;
    const next = judged(apply(previous), nowMs);
    records.set(serverId, next);
    if (isConcerned(next)) concerned.add(serverId);
    else concerned.delete(serverId);
    if (next.healthState.kind !== previous.healthState.kind) {
      onChange(next.server, next.healthState);
    }
  };

  return {
    replaceServers(servers, nowMs) {
      // An instance that has just started must not treat the whole fleet of servers as cold.
      const slowStartAtMs = isFirst ? undefined : nowMs;
      isFirst = false;
      records = new Map(
        servers.map((server) => {
          const known = records.get(server.serverId);
          const isSame = known?.server.address === server.address;
          return [
            server.serverId,
            isSame ? { ...known, server } : createRecord(server, slowStartAtMs),
          ];
        }),
      );
      concerned.clear();
      for (const [serverId, entry] of records) if (isConcerned(entry)) concerned.add(serverId);
    },
    servers: () => [...records.values()].map((entry) => entry.server),
    server: (serverId) => records.get(serverId)?.server,
    concerned: () => [...concerned].flatMap((serverId) => records.get(serverId)?.server ?? []),
    observe: (serverId, observation, nowMs) =>
      change(serverId, nowMs, (entry) => withObservation(entry, observation, nowMs)),
    noteAnswer: (serverId, nowMs) => change(serverId, nowMs, (entry) => withAnswer(entry, nowMs)),
    noteList: (serverId, status, nowMs) =>
      change(serverId, nowMs, (entry) => withListStatus(entry, status)),
    noteMark: (serverId, mark, nowMs) => change(serverId, nowMs, (entry) => withMark(entry, mark)),
    refresh(nowMs) {
      for (const serverId of [...concerned]) change(serverId, nowMs, (entry) => entry);
    },
    healthState: (serverId) => records.get(serverId)?.healthState ?? USABLE,
    isQuestioned(serverId) {
      const entry = records.get(serverId);
      return entry !== undefined && isQuestioned(entry);
    },
    ownHealth(serverId, nowMs) {
      const entry = records.get(serverId);
      if (entry === undefined) return { healthState: USABLE, incarnation: undefined };
      const healthState = judgeOwnHealth(entry.evidence, nowMs);
      return { healthState, incarnation: entry.evidence.incarnation };
    },
    share(serverId, nowMs) {
      const entry = records.get(serverId);
      if (entry === undefined) return 1;
      if (entry.healthState.kind !== 'usable') return 0;
      if (entry.slowStartAtMs === undefined) return 1;
      return slowStartShare(entry.slowStartAtMs, entry.server.rules.slowStartMs, nowMs);
    },
  };
}
