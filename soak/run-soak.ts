import { mkdirSync } from 'node:fs';
import { setTimeout as sleep } from 'node:timers/promises';
import { createDisposableStore } from '../src/core/lifetime';
import { createSeededRandom } from '../src/core/random';
import { REGIONS } from '../platform/testing/process-settings';
import { openStoreStandIn } from '../standins/published-store';
import type { StoreCopy } from '../standins/published-store';
import { isWithinQuota } from './accounts';
import { SERVER_SLOTS, checkFalls, createBrittleness } from './brittleness';
import { isAnswered, startCallers } from './callers';
import { configurationOf } from './configuration';
import { checkCrashingParts, createCrashingParts } from './crashing-parts';
import { checkSilence, silenceFigures, tallySilence } from './cut-in-silence';
import { checkEndless } from './check-endless';
import { createDisturbances } from './disturbances';
import { drawFault } from './draw-fault';
import { injectFault } from './faults';
import type { FaultKind } from './faults';
import { startSoakInstances } from './instances';
import { createLosses } from './losses';
import { checkLostStreams, tallyLostStreams } from './lost-streams';
import { checkCutOff, checkSuspects, tallyCutOff } from './cut-off';
import { createSoakLinks } from './links';
import { checkPromises } from './promises';
import { checkVersions } from './routes-in-force';
import { readInstancesOf, readLogs } from './log-lines';
import { checkLimits, readKnownSince } from './server-limits';
import { checkStatements } from './server-statements';
import { openSoakServers } from './servers';
import { createSteadyCallers } from './steady-callers';
import { createStoreTroubles } from './store-troubles';
import { createStreamCallers } from './stream-callers';
import { checkStreamOrder } from './stream-order';
import { checkStreamVersions, tallyStreams } from './stream-versions';
import type { BrokenPromise, CallerAttempt, SoakOptions, SoakReport } from './types';

const SERVERS = 6;
/** Requests that each server has room for where all streams are to be served. */
const ROOMY_SLOTS = 8;
/** Interval between the begins of two slow streams, by the room of the servers, ms. */
const STREAM_GAP_MS = 250;
const ROOMY_STREAM_GAP_MS = 40;
const CALLERS_PER_INSTANCE = 4;
const CALLER_PAUSE_MS = 60;
/** Time for the instances to discover one another before the first fault, ms. */
const SETTLING_MS = 3_000;
/** Mean time between the starts of two faults, ms. It is shorter than most faults, so that they overlap. */
const MEAN_FAULT_GAP_MS = 700;
/** Interval at which the store is copied, ms, and number of copies that are kept; it is restored from the oldest. */
const COPY_INTERVAL_MS = 1_000;
const MAX_COPIES = 4;
/** Time to recover after the last fault, ms. */
const RECOVERY_MS = 12_000;
const MS_PER_S = 1_000;
/** Time after the recovery in which requests must be answered, ms. */
const OBSERVATION_MS = 2_000;
/** Minimum share of requests with a complete answer after the recovery; the servers themselves fail some. */
const MIN_ANSWERED_SHARE = 0.5;

/** Whether the servers have room for many streams: those that may be brittle have little. */
function hasRoom(kinds: readonly FaultKind[]): boolean {
  const losesAll = kinds.includes('killAll') || kinds.includes('stopAll');
  return losesAll && !kinds.includes('brittle');
}

function checkServedAgain(attempts: readonly CallerAttempt[]): readonly BrokenPromise[] {
  const served = attempts.filter(isAnswered).length;
  if (attempts.length > 0 && served >= attempts.length * MIN_ANSWERED_SHARE) return [];
  const detail = `${served} of ${attempts.length} after the last fault`;
  return [{ promise: 'notServedAgain', requestId: '', detail }];
}

/** Runs one soak: injects overlapping faults while callers send requests, and checks the results. */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
  const { seed, seconds, logFolder, recoverySeconds } = options;
  const random = createSeededRandom(seed);
  const faultRandom = createSeededRandom(seed + 1);
  mkdirSync(logFolder, { recursive: true });
  const owned = createDisposableStore();
  try {
    const store = owned.add(await openStoreStandIn());
    const isRoomy = hasRoom(options.kinds);
    let version = 1;
    const changeRoutes = () => {
      version += 1;
      store.put('op/config', configurationOf(version));
    };
    changeRoutes();
    const brittleness = createBrittleness();
    const links = owned.add(createSoakLinks(options.instances));
    const disturbances = createDisturbances();
    let callerAddress = (_instance: number): string => '';
    const crashingParts = createCrashingParts({
      random: createSeededRandom(seed + 2),
      instances: options.instances,
      callerAddress: (instance) => callerAddress(instance),
      isDisturbed: disturbances.isDisturbed,
    });
    const servers = owned.add(
      await openSoakServers({
        store,
        random,
        count: SERVERS,
        slots: isRoomy ? ROOMY_SLOTS : SERVER_SLOTS,
        versions: options.versions,
        links,
        brittleness,
        crashesOn: crashingParts.crashesOn,
      }),
    );
    const instances = owned.add(
      await startSoakInstances({
        count: options.instances,
        openStore: (index) => store.openView(links.viewOf(index)),
        logFolder,
      }),
    );
    callerAddress = instances.callerAddress;
    const addresses = Array.from({ length: options.instances }, (_, index) =>
      instances.callerAddress(index),
    );
    await sleep(SETTLING_MS);
    const callers = startCallers({
      random,
      count: options.instances * CALLERS_PER_INSTANCE,
      addresses,
      pauseMs: CALLER_PAUSE_MS,
    });
    const steadyCallers = createSteadyCallers({
      random: createSeededRandom(seed + 3),
      addresses,
    });
    const copies: StoreCopy[] = [];
    const saving = setInterval(() => {
      copies.push(store.saveCopy());
      if (copies.length > MAX_COPIES) copies.shift();
    }, COPY_INTERVAL_MS);
    owned.add({ [Symbol.dispose]: () => clearInterval(saving) });
    const publishAgain = (): void => {
      store.put('op/config', configurationOf(version));
      servers.publishAgain();
    };
    const oldestCopy = () => copies[0] ?? store.saveCopy();
    const streamCallers = owned.add(
      createStreamCallers({
        random: createSeededRandom(seed + 4),
        addresses,
        gapMs: isRoomy ? ROOMY_STREAM_GAP_MS : STREAM_GAP_MS,
      }),
    );
    const storeTroubles = createStoreTroubles({ store, oldestCopy, publishAgain });
    const losses = createLosses({ instances, streamCallers, storeTroubles });
    const targets = {
      store,
      instances,
      servers,
      links,
      brittleness,
      crashingParts,
      steadyCallers,
      losses,
      storeTroubles,
      changeRoutes,
      publishAgain,
      oldestCopy,
    };
    const pendingFaults: Promise<void>[] = [];
    const untilMs = performance.now() + seconds * 1_000;
    while (performance.now() < untilMs) {
      const fault = drawFault(faultRandom, options.kinds, options.instances, SERVERS);
      pendingFaults.push(disturbances.during(fault, injectFault(fault, targets)));
      await sleep(MEAN_FAULT_GAP_MS * 2 * faultRandom.next());
    }
    await Promise.all(pendingFaults);
    clearInterval(saving);
    publishAgain();
    await sleep(recoverySeconds === undefined ? RECOVERY_MS : recoverySeconds * MS_PER_S);
    const before = callers.attempts.length;
    await sleep(OBSERVATION_MS);
    await callers.stop();
    await streamCallers.settle();
    const { attempts } = callers;
    const tally = (some: readonly CallerAttempt[]) =>
      tallyCutOff(some, links.cuts, instances.callerAddress, losses.times);
    const cutOff = tally(attempts);
    const boundCutOff = tally(attempts.filter(({ isBoundToRegion }) => isBoundToRegion));
    const streams = tallyStreams(attempts, servers.versionCounts, losses.times);
    const slowStreams = tallyStreams(streamCallers.attempts, servers.versionCounts, losses.times);
    const logs = readLogs(logFolder, options.instances);
    const passedThrough = readInstancesOf(logs);
    const allAttempts = [...attempts, ...steadyCallers.attempts];
    const record = {
      ...servers,
      attempts: allAttempts,
      brittleTimes: brittleness.times,
      interruptions: [...instances.interruptions, ...links.cuts],
      instancesOf: ({ requestId, address }: CallerAttempt) => [
        ...(passedThrough.get(requestId) ?? []),
        addresses.indexOf(address),
      ],
    };
    const silence = tallySilence(record);
    const lost = tallyLostStreams({
      attempts: streamCallers.attempts,
      losses: losses.times,
      storeTroubles: storeTroubles.times,
      servingTimes: servers.servingTimes,
      brittleTimes: brittleness.times,
      versionCounts: servers.versionCounts,
    });
    const everyAttempt = [...allAttempts, ...streamCallers.attempts];
    const endlessReads = servers.endless.reads();
    return {
      seed,
      seconds,
      instances: options.instances,
      faults: pendingFaults.length,
      losses: losses.times.length,
      requests: everyAttempt.length,
      answered: everyAttempt.filter(isAnswered).length,
      refused: everyAttempt.filter(({ status }) => status === 503 || status === 429).length,
      cutOff,
      boundCutOff,
      streams,
      slowStreams,
      lost,
      silence: silenceFigures(silence),
      crashingParts: {
        arrivals: crashingParts.arrivals.length,
        sound: crashingParts.sound.length,
      },
      endless: endlessReads.length,
      falls: brittleness.times.map(({ falls }) => falls),
      broken: [
        ...checkPromises(everyAttempt, servers.runs),
        ...checkServedAgain(attempts.slice(before).filter(({ key }) => isWithinQuota(key))),
        ...checkVersions(logFolder, options.instances, version),
        ...checkLimits(servers.runs, servers.limitChanges, readKnownSince(logs)),
        ...checkStatements(servers.statements, logs, links.cuts),
        ...checkCutOff(cutOff),
        // With one instance in each region, there is no other one to serve them.
        ...(options.instances > REGIONS.length ? checkCutOff(boundCutOff) : []),
        ...checkFalls(brittleness.times, SERVERS),
        ...checkStreamVersions(streams),
        ...checkStreamVersions(slowStreams),
        ...checkStreamOrder(everyAttempt),
        ...checkLostStreams(lost),
        ...checkSilence(silence),
        ...checkEndless({
          ...record,
          logs,
          endlessTimes: servers.endless.times,
          endlessReads,
          unexpectedEnds: instances.unexpectedEnds,
        }),
        ...checkSuspects(logs, servers.ends),
        ...checkCrashingParts(crashingParts.arrivals, crashingParts.sound),
      ],
    };
  } finally {
    await owned[Symbol.asyncDispose]();
  }
}
