import { mkdirSync } from 'node:fs';
import { setTimeout as sleep } from 'node:timers/promises';
import { createDisposableStore } from '../src/core/lifetime';
import { createSeededRandom } from '../src/core/random';
import { openStoreStandIn } from '../standins/published-store';
import type { StoreCopy } from '../standins/published-store';
import { isOwed } from './accounts';
import { startCallers } from './callers';
import { bringAbout, configurationOf, drawFault } from './faults';
import { startSoakInstances } from './instances';
import { checkPromises } from './promises';
import { checkVersions } from './routes-in-force';
import { checkLimits, readKnownSince } from './server-limits';
import { openSoakServers } from './servers';
import type { BrokenPromise, CallerAttempt, SoakOptions, SoakReport } from './types';

const SERVERS = 6;
const CALLERS_PER_INSTANCE = 4;
const CALLER_REST_MS = 60;
/** Time in which the instances find one another before the first fault, ms. */
const SETTLING_MS = 3_000;
/** Mean rest between two faults, ms; they last longer than that, so that they overlap. */
const FAULT_REST_MS = 700;
/** The store comes back from a copy of some seconds before. */
const COPY_EVERY_MS = 1_000;
const MOST_COPIES = 4;
/** Time after the last fault in which all is to be well again, ms. */
const RECOVERY_MS = 12_000;
/** Time in which callers are looked at after that, ms. */
const LOOK_MS = 2_000;
/** Least share of requests that are answered whole once all is well; the servers themselves fail some. */
const LEAST_SERVED_SHARE = 0.5;

const isAnswered = ({ status, isWhole }: CallerAttempt) => status === 200 && isWhole;

function checkServedAgain(attempts: readonly CallerAttempt[]): readonly BrokenPromise[] {
  const served = attempts.filter(isAnswered).length;
  if (attempts.length > 0 && served >= attempts.length * LEAST_SERVED_SHARE) return [];
  const detail = `${served} of ${attempts.length} after the last fault`;
  return [{ promise: 'notServedAgain', requestId: '', detail }];
}

/** One run: faults overlap while callers ask, and what they and the servers saw is compared. */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
  const { seed, seconds, logFolder } = options;
  const random = createSeededRandom(seed);
  const faultRandom = createSeededRandom(seed + 1);
  mkdirSync(logFolder, { recursive: true });
  const owned = createDisposableStore();
  try {
    const store = owned.add(await openStoreStandIn());
    let version = 1;
    const changeRoutes = () => {
      version += 1;
      store.put('op/config', configurationOf(version));
    };
    changeRoutes();
    const servers = owned.add(await openSoakServers(store, random, SERVERS));
    const instances = owned.add(
      await startSoakInstances({
        count: options.instances,
        storeAddress: store.address,
        logFolder,
      }),
    );
    await sleep(SETTLING_MS);
    const callers = startCallers({
      random,
      count: options.instances * CALLERS_PER_INSTANCE,
      addresses: Array.from({ length: options.instances }, (_, index) =>
        instances.callerAddress(index),
      ),
      restMs: CALLER_REST_MS,
    });
    const copies: StoreCopy[] = [];
    const saving = setInterval(() => {
      copies.push(store.saveCopy());
      if (copies.length > MOST_COPIES) copies.shift();
    }, COPY_EVERY_MS);
    owned.add({ [Symbol.dispose]: () => clearInterval(saving) });
    const targets = {
      store,
      instances,
      servers,
      changeRoutes,
      publishAgain() {
        store.put('op/config', configurationOf(version));
        servers.publishAgain();
      },
      oldestCopy: () => copies[0] ?? store.saveCopy(),
    };
    const underWay: Promise<void>[] = [];
    const untilMs = performance.now() + seconds * 1_000;
    while (performance.now() < untilMs) {
      underWay.push(bringAbout(drawFault(faultRandom, options.instances, SERVERS), targets));
      await sleep(FAULT_REST_MS * 2 * faultRandom.next());
    }
    await Promise.all(underWay);
    clearInterval(saving);
    targets.publishAgain();
    await sleep(RECOVERY_MS);
    const before = callers.attempts.length;
    await sleep(LOOK_MS);
    await callers.stop();
    const { attempts } = callers;
    return {
      seed,
      seconds,
      instances: options.instances,
      faults: underWay.length,
      requests: attempts.length,
      answered: attempts.filter(isAnswered).length,
      refused: attempts.filter(({ status }) => status === 503 || status === 429).length,
      broken: [
        ...checkPromises(attempts, servers.runs),
        ...checkServedAgain(attempts.slice(before).filter(({ key }) => isOwed(key))),
        ...checkVersions(logFolder, options.instances, version),
        ...checkLimits(
          servers.runs,
          servers.limitChanges,
          readKnownSince(logFolder, options.instances),
        ),
      ],
    };
  } finally {
    await owned[Symbol.asyncDispose]();
  }
}
