import { setTimeout as sleep } from 'node:timers/promises';
import { openAnnouncedServer } from '../standins/announced-server';
import type { AnnouncedServer, ReceivedRequest } from '../standins/announced-server';
import type { EndlessShape } from '../standins/endless-answers';
import { serverEntry } from '../standins/published-store';
import type { StoreStandIn } from '../standins/published-store';
import type { RandomSource } from '../src/core/random';
import { domainOf, regionOf } from '../platform/testing/process-settings';
import type { Brittleness } from './brittleness';
import type { SoakLinks } from './links';
import { createServerScripts } from './server-scripts';
import { LEAVING_MS, VERSIONS } from './server-versions';
import type { VersionChange } from './server-versions';
import { createServingTimes } from './serving-times';
import { createEndlessServers } from './endless';
import type { EndlessServers } from './endless';
import { createStillness } from './stillness';
import type {
  FailedAnswer,
  NamedLimitChange,
  ServerArrival,
  ServerEnd,
  ServerRun,
  ServerStatement,
  ServingServer,
  ServingTime,
  SilencedRequest,
  SilentServer,
  Standstill,
  VersionCounts,
} from './types';

/** Backend servers that announce themselves and record the requests that they run. */
export interface SoakServers extends AsyncDisposable {
  readonly runs: readonly ServerRun[];
  /** Changes of the limits that servers name, in order of time. */
  readonly limitChanges: readonly NamedLimitChange[];
  /** Requests that arrived, and what was stated in answers to them, in order of time. */
  readonly arrivals: readonly ServerArrival[];
  readonly statements: readonly ServerStatement[];
  readonly count: number;
  /** Stops a server as planned, and starts another one with a new id in its place. */
  replace(index: number): Promise<void>;
  /** Replaces a server by one of another software version: one step of a rollout, or of a rollback. */
  changeVersion(index: number, change: VersionChange): Promise<void>;
  /** Servers of each software version that take requests, in order of time. */
  readonly versionCounts: readonly VersionCounts[];
  /** Restarts a server under the same id, without its former state. */
  restartInPlace(index: number): Promise<void>;
  /** Overwrites the entry of a server with invalid bytes, until the server writes it again. */
  damageEntry(index: number): void;
  /** Sets the limit that a server names in its answers from now on; undefined for none. */
  setLimit(index: number, perSecond: number | undefined): void;
  /** Has a server state in its answers from now on that it is leaving; its entry does not change. */
  stateDeparture(index: number): void;
  /** Has a server refuse all requests from now on, and ask for a pause; undefined ends that. A pause of 0 is not stated. */
  refuse(index: number, pauseMs: number | undefined): void;
  /** Ends of servers, in order of time. */
  readonly ends: readonly ServerEnd[];
  /** Has servers send nothing for some time, and then go on where they were. */
  standStill(indexes: readonly number[], forMs: number): Promise<void>;
  /**
   * Has a server send nothing any more, and replaces it after some time, as a machine that lost power. Does nothing if the
   * others of its region are silent.
   */
  fallSilent(index: number, forMs: number): Promise<void>;
  /** Has a server answer without end for some time. */
  answerEndlessly(index: number, shape: EndlessShape, forMs: number): Promise<void>;
  readonly endless: Pick<EndlessServers, 'times' | 'reads'>;
  readonly standstills: readonly Standstill[];
  readonly silentServers: readonly SilentServer[];
  /** Answers that servers broke off, and failures of their own. */
  readonly failedAnswers: readonly FailedAnswer[];
  readonly servingTimes: readonly ServingTime[];
  /** Writes the entries of all servers again, and removes those of servers that have gone. */
  publishAgain(): void;
}

interface RunningServer {
  readonly index: number;
  readonly server: AnnouncedServer;
  readonly links: AsyncDisposable;
  /** Identifies this start of the server, as the instances' logs do. */
  readonly startId: string;
  readonly serverId: string;
  readonly bornUnixMs: number;
  readonly softwareVersion: string;
}

/** Time after which a server that fell is back, ms. */
const DOWN_MS = 3_000;
/** Options of `openSoakServers`. */
export interface SoakServersOptions {
  readonly store: StoreStandIn;
  readonly random: RandomSource;
  readonly count: number;
  /** Requests that each server has room for, as it states them. */
  readonly slots: number;
  /** Number of software versions that the servers have in turn. */
  readonly versions: number;
  readonly links: Pick<SoakLinks, 'open'>;
  readonly brittleness: Brittleness;
  readonly crashesOn: (request: ReceivedRequest) => boolean;
}

/** Time for which a damaged entry stays damaged, ms. */
const DAMAGED_MS = 500;
/** Starts servers, and assigns them to the failure domains and to the software versions in turn. */
export async function openSoakServers(options: SoakServersOptions): Promise<SoakServers> {
  const { store, random, count, links, brittleness, crashesOn, versions } = options;
  const versionAt = (index: number): string => VERSIONS[index % versions] ?? VERSIONS[0];
  const running: RunningServer[] = [];
  const leaving = new Set<Promise<void>>();
  /** Ids of all servers that have been started. */
  const started = new Set<string>();
  let nextNumber = 1;

  const limitChanges: NamedLimitChange[] = [];

  const ends: ServerEnd[] = [];
  const endedStarts = new Set<string>();
  const versionCounts: VersionCounts[] = [];
  /** Starts whose refusals still ask for a pause, or whose entry is damaged. */
  const restingStarts = new Set<string>();
  const stillness = createStillness();
  const endless = createEndlessServers();
  let fall: (startId: string) => void = () => {};
  const scripts = createServerScripts({
    random,
    brittleness,
    stillness,
    endless,
    crashesOn,
    onFall: (startId) => fall(startId),
  });
  const { limits, leavingStarts, refusingStarts } = scripts;
  const silentServers: (SilentServer & { readonly requests: SilencedRequest[] })[] = [];
  const servingTimes = createServingTimes();
  /** Servers that fell silent and were replaced; their connections stay open until the end of the run. */
  const lost: RunningServer[] = [];

  const announce = (index: number, more: object = {}): void => {
    const { server, serverId, bornUnixMs, softwareVersion } = running[index] ?? {};
    if (server === undefined) return;
    const entry = {
      Zone: domainOf(index),
      born: bornUnixMs,
      Slots: options.slots,
      Version: softwareVersion,
      ...more,
    };
    store.put(`servers/${serverId}`, serverEntry(server.address, entry));
  };

  const servingOf = ({ startId, softwareVersion, index }: RunningServer): ServingServer => ({
    server: startId,
    region: regionOf(index),
    softwareVersion,
  });

  /** Records which servers take requests now. */
  const recordServing = (): void => {
    const serving = running.filter(
      ({ startId }) =>
        !endedStarts.has(startId) &&
        !stillness.isStill(startId) &&
        endless.shapeOf(startId) === undefined &&
        !limits.has(startId) &&
        !leavingStarts.has(startId) &&
        !refusingStarts.has(startId) &&
        !restingStarts.has(startId),
    );
    servingTimes.record(serving.map(servingOf));
  };

  /** Has a server count as one that takes no requests for some time. */
  const restFor = (startId: string, forMs: number): void => {
    restingStarts.add(startId);
    setTimeout(() => {
      restingStarts.delete(startId);
      recordServing();
    }, forMs).unref();
  };

  /** Records how many servers of each version take requests now. */
  const recordVersions = (): void => {
    recordServing();
    const counts = new Map<string, number>();
    for (const { softwareVersion, startId } of running) {
      if (endedStarts.has(startId)) continue;
      counts.set(softwareVersion, (counts.get(softwareVersion) ?? 0) + 1);
    }
    versionCounts.push({ atMs: Date.now(), counts });
  };

  const start = async (index: number, serverId: string, softwareVersion: string): Promise<void> => {
    const bornUnixMs = Date.now();
    const startId = `${serverId}@${bornUnixMs}`;
    const server = await openAnnouncedServer(
      scripts.scriptOf({ serverId, startId, softwareVersion }),
    );
    running[index] = {
      index,
      server,
      links: await links.open(server.address),
      startId,
      serverId,
      bornUnixMs,
      softwareVersion,
    };
    started.add(serverId);
    announce(index);
    recordVersions();
  };

  /** Closes what is left of a server. */
  const dispose = async ({ server, links: ownLinks }: RunningServer): Promise<void> => {
    await Promise.all([server[Symbol.asyncDispose](), ownLinks[Symbol.asyncDispose]()]);
  };

  const recordEnd = ({ startId }: RunningServer): void => {
    ends.push({ server: startId, atMs: Date.now() });
    endedStarts.add(startId);
    recordVersions();
  };

  /** Ends a server with its links, so that connections to it are reset and refused. */
  const end = async (ended: RunningServer): Promise<void> => {
    recordEnd(ended);
    await dispose(ended);
  };

  /** Ends a server that had to reject too many requests, and starts it again some time later. */
  fall = (startId) => {
    const index = running.findIndex((candidate) => candidate.startId === startId);
    const fallen = running[index];
    if (fallen === undefined) return;
    const back = end(fallen)
      .then(() => sleep(DOWN_MS))
      .then(() =>
        running[index] === fallen
          ? start(index, fallen.serverId, fallen.softwareVersion)
          : undefined,
      )
      .finally(() => leaving.delete(back));
    leaving.add(back);
  };

  const newId = (): string => {
    nextNumber += 1;
    return `server-${nextNumber}`;
  };

  const leave = async (left: RunningServer, drainMs: number): Promise<void> => {
    await sleep(drainMs);
    store.remove(`servers/${left.serverId}`);
    await end(left);
  };

  const replaceBy = async (
    index: number,
    softwareVersion: string,
    drainMs = LEAVING_MS,
  ): Promise<void> => {
    const old = running[index];
    if (old === undefined) return;
    announce(index, { State: 'draining' });
    const left = leave(old, drainMs).finally(() => leaving.delete(left));
    leaving.add(left);
    await start(index, newId(), softwareVersion);
  };

  const restartInPlace = async (index: number, softwareVersion?: string): Promise<void> => {
    const old = running[index];
    if (old === undefined) return;
    await end(old);
    await start(index, old.serverId, softwareVersion ?? old.softwareVersion);
  };

  /** Whether a server is neither silent nor gone. */
  const isThere = ({ startId }: RunningServer): boolean =>
    !stillness.isSilent(startId) && !endedStarts.has(startId);

  /** Whether a server of the region other than this one is there. */
  const hasOther = (index: number): boolean =>
    running.some(
      (other) =>
        other.index !== index && regionOf(other.index) === regionOf(index) && isThere(other),
    );

  for (let index = 0; index < count; index += 1) {
    await start(index, newId(), versionAt(index));
  }
  return {
    runs: scripts.runs,
    limitChanges,
    arrivals: scripts.arrivals,
    statements: scripts.statements,
    ends,
    versionCounts,
    count,
    standstills: stillness.standstills,
    silentServers,
    failedAnswers: scripts.failedAnswers,
    servingTimes: servingTimes.times,
    endless,
    async answerEndlessly(index, shape, forMs) {
      const { startId } = running[index] ?? {};
      if (startId === undefined || endless.shapeOf(startId) !== undefined) return;
      endless.begin(startId, shape);
      recordServing();
      await sleep(forMs);
      endless.end(startId);
      recordServing();
    },
    async standStill(indexes, forMs) {
      const startIds = indexes.flatMap((index) => running[index]?.startId ?? []);
      await stillness.during(startIds, forMs, recordServing);
    },
    async fallSilent(index, forMs) {
      const fallen = running[index];
      if (fallen === undefined || !isThere(fallen) || !hasOther(index)) return;
      const requests = scripts.fallSilent(fallen.startId);
      silentServers.push({ ...servingOf(fallen), fromMs: Date.now(), requests });
      stillness.fallSilent(fallen.startId);
      recordServing();
      await sleep(forMs);
      if (running[index] !== fallen || endedStarts.has(fallen.startId)) return;
      lost.push(fallen);
      recordEnd(fallen);
      store.remove(`servers/${fallen.serverId}`);
      await start(index, newId(), fallen.softwareVersion);
    },
    stateDeparture(index) {
      const { startId } = running[index] ?? {};
      if (startId !== undefined) leavingStarts.add(startId);
      recordServing();
    },
    refuse(index, pauseMs) {
      const { startId } = running[index] ?? {};
      if (startId === undefined) return;
      if (pauseMs !== undefined) refusingStarts.set(startId, pauseMs);
      else {
        restFor(startId, refusingStarts.get(startId) ?? 0);
        refusingStarts.delete(startId);
      }
      recordServing();
    },
    setLimit(index, perSecond) {
      const { startId } = running[index] ?? {};
      if (startId === undefined) return;
      if (perSecond === undefined) limits.delete(startId);
      else limits.set(startId, perSecond);
      limitChanges.push({ server: startId, atMs: Date.now(), perSecond });
      recordServing();
    },
    async replace(index) {
      await replaceBy(index, running[index]?.softwareVersion ?? VERSIONS[0]);
    },
    async changeVersion(index, { to, leaving: way }) {
      const { softwareVersion = '' } = running[index] ?? {};
      const own = VERSIONS.findIndex((version) => version === softwareVersion);
      const next = versionAt(to ?? own + 1);
      switch (way.kind) {
        case 'drains':
          await replaceBy(index, next, way.drainMs);
          return;
        case 'inPlace':
          await restartInPlace(index, next);
          return;
        default:
          way satisfies never;
      }
    },
    restartInPlace: (index) => restartInPlace(index),
    publishAgain() {
      running.forEach((_, index) => announce(index));
      const alive = new Set(running.map(({ serverId }) => serverId));
      for (const serverId of started) if (!alive.has(serverId)) store.remove(`servers/${serverId}`);
    },
    damageEntry(index) {
      const { serverId, startId } = running[index] ?? {};
      if (serverId === undefined || startId === undefined) return;
      store.putRaw(`servers/${serverId}`, 'bm90IGpzb24=');
      restFor(startId, DAMAGED_MS);
      recordServing();
      setTimeout(() => announce(index), DAMAGED_MS).unref();
    },
    async [Symbol.asyncDispose]() {
      await Promise.all(leaving);
      await Promise.all([...running.map(end), ...lost.map(dispose)]);
    },
  };
}
