import { createMemoryLogger } from '../../../testing';
import { createSeededRandom } from '../../random';
import { createAccountShares } from '..';
import type { AccountShares } from '..';

/**
 * Simulates the accounts of one service and the instances of one region in front of servers that work off a common
 * queue. A request is refused by the servers if it would wait longer than the objective. Time is simulated.
 */

/** One account of a simulation. */
export interface SimulatedAccount {
  readonly name: string;
  /** Request rate at a time of the simulation. */
  readonly perSecond: (nowMs: number) => number;
  /** Index of the only instance that gets its requests; undefined if they are spread over all. */
  readonly onlyInstance?: number;
}

/** Parameters of a simulation. */
export interface ShareLoad {
  readonly seed: number;
  readonly instances: number;
  readonly accounts: readonly SimulatedAccount[];
  /** Cost that the servers finish per second. */
  readonly capacityPerSecond: number;
  readonly durationMs: number;
  readonly isEnabled?: boolean;
  /** Minimum interval between reports, ms; by default that of the implementation. */
  readonly reportIntervalMs?: number;
  /** Share of the reports that are lost. */
  readonly lostShare?: number;
  /** Index of an instance that receives no report. */
  readonly instanceWithoutReports?: number;
  /** Whether a refused caller returns once, after a second. */
  readonly hasRetries?: boolean;
}

/** Results of a simulation. */
export interface ShareRun {
  /** Admitted and demanded cost of an account in a period, without requests that return. */
  readonly costs: (
    account: string,
    fromMs?: number,
    toMs?: number,
  ) => { admitted: number; demanded: number };
  /** Cost that the servers worked off in a period, as a share of their capacity. */
  readonly utilization: (fromMs: number, toMs: number) => number;
  /** Admitted share of the demand of an account at each instance. */
  readonly admittedShareAt: (account: string, instance: number) => number;
  readonly messages: number;
  readonly largestMessageBytes: number;
  /** Time at which the shares last refused a request, ms; undefined if they never did. */
  readonly lastShareRefusalMs: number | undefined;
}

const SERVICE = 'chat';
const STEP_MS = 5;
/** Interval between ticks of an instance, ms. */
const TICK_MS = 50;
const DELAY_MS = 5;
const RETRY_MS = 1_000;
/** Maximum time that an admitted request waits, ms. */
const OBJECTIVE_MS = 600;
const MS_PER_S = 1_000;
/** Costs are between these, evenly distributed. */
const MIN_COST = 500;
const MAX_COST = 1_500;
/** Mean cost of a request. */
export const MEAN_COST = (MIN_COST + MAX_COST) / 2;

interface SimulatedRequest {
  readonly account: string;
  readonly instance: number;
  readonly cost: number;
  readonly firstAtMs: number;
  wasAdmitted: boolean;
}

/** Simulates one load. With the same seed, the arrivals of an account are the same, whatever the others send. */
export function simulateShares(load: ShareLoad): ShareRun {
  const { instances, accounts, capacityPerSecond, durationMs } = load;
  const networkRandom = createSeededRandom(load.seed + 1_000);
  const requests: SimulatedRequest[] = [];
  const returning: { readonly atMs: number; readonly request: SimulatedRequest }[] = [];
  const inTransit: { readonly atMs: number; readonly to: number; readonly text: string }[] = [];
  const workedOff: number[] = [];
  let nowMs = 0;
  let backlog = 0;
  let messages = 0;
  let largestMessageBytes = 0;
  let lastShareRefusalMs: number | undefined;
  const sentAtMs = new Map<number, number>();

  const all: AccountShares[] = Array.from({ length: instances }, (_unused, self) => {
    const random = createSeededRandom(load.seed * 100 + self);
    return createAccountShares({
      selfId: `i-${self}`,
      logger: createMemoryLogger(),
      incarnation: 1,
      isEnabled: () => load.isEnabled ?? true,
      addresses: () =>
        Array.from({ length: instances }, (_none, index) => `${index}`).filter(
          (address) => address !== `${self}`,
        ),
      send(address, text) {
        messages += 1;
        largestMessageBytes = Math.max(largestMessageBytes, Buffer.byteLength(text));
        const isLost = networkRandom.next() < (load.lostShare ?? 0);
        const to = Number(address);
        if (isLost || to === load.instanceWithoutReports) return;
        inTransit.push({ atMs: nowMs + DELAY_MS, to, text });
      },
      draw: random.next,
    });
  });

  const serve = (request: SimulatedRequest): void => {
    const shares = all[request.instance];
    if (shares === undefined) throw new Error('no instance to send to');
    const { account, cost } = request;
    const verdict = shares.admits({ service: SERVICE, account }, nowMs);
    const waitMs = (backlog / capacityPerSecond) * MS_PER_S;
    const maxWaitMs = OBJECTIVE_MS * verdict.maxWaitShare;
    const byServers = waitMs <= maxWaitMs ? 'admitted' : 'refusedByServers';
    const outcome = verdict.isAdmitted ? byServers : 'refusedByShare';
    shares.record({ service: SERVICE, account, cost, outcome }, nowMs);
    if (outcome === 'admitted') {
      backlog += cost;
      request.wasAdmitted = true;
      return;
    }
    if (outcome === 'refusedByShare') lastShareRefusalMs = nowMs;
    const mayReturn = (load.hasRetries ?? false) && request.firstAtMs === nowMs;
    if (mayReturn) returning.push({ atMs: nowMs + RETRY_MS, request });
  };

  const arrivals = accounts.map(({ name, perSecond, onlyInstance }, index) => {
    const random = createSeededRandom(load.seed * 10_000 + index);
    let nextAtMs = 0;
    const scheduleNext = (): void => {
      nextAtMs += (-Math.log(1 - random.next()) * MS_PER_S) / Math.max(0.001, perSecond(nowMs));
      // A rate of almost zero would otherwise skip the following change of the rate.
      nextAtMs = Math.min(nextAtMs, nowMs + MS_PER_S);
    };
    scheduleNext();
    return () => {
      while (nextAtMs <= nowMs) {
        const cost = MIN_COST + random.next() * (MAX_COST - MIN_COST);
        const drawn = Math.floor(random.next() * instances);
        if (perSecond(nowMs) > 0) {
          const instance = onlyInstance ?? drawn;
          const request = { account: name, instance, cost, firstAtMs: nowMs, wasAdmitted: false };
          requests.push(request);
          serve(request);
        }
        scheduleNext();
      }
    };
  });

  const sendReports = (): void =>
    all.forEach((shares, index) => {
      if (nowMs - (sentAtMs.get(index) ?? -Infinity) < (load.reportIntervalMs ?? 0)) return;
      const before = messages;
      shares.sendIfDue(nowMs);
      if (messages > before) sentAtMs.set(index, nowMs);
    });

  for (; nowMs < durationMs; nowMs += STEP_MS) {
    const done = Math.min(backlog, (capacityPerSecond * STEP_MS) / MS_PER_S);
    backlog -= done;
    workedOff.push(done);
    while ((inTransit[0]?.atMs ?? Infinity) <= nowMs) {
      const message = inTransit.shift();
      if (message !== undefined) all[message.to]?.receive(message.text, nowMs);
    }
    while ((returning[0]?.atMs ?? Infinity) <= nowMs) {
      const returned = returning.shift();
      if (returned !== undefined) serve(returned.request);
    }
    for (const arrive of arrivals) arrive();
    if (nowMs % TICK_MS === 0) sendReports();
  }

  const sumOf = (selected: readonly SimulatedRequest[]) => ({
    admitted: selected.reduce((sum, { wasAdmitted, cost }) => sum + (wasAdmitted ? cost : 0), 0),
    demanded: selected.reduce((sum, { cost }) => sum + cost, 0),
  });
  return {
    costs: (account, fromMs = 0, toMs = durationMs) =>
      sumOf(
        requests.filter(
          ({ account: name, firstAtMs }) =>
            name === account && firstAtMs >= fromMs && firstAtMs < toMs,
        ),
      ),
    utilization(fromMs, toMs) {
      const steps = workedOff.slice(fromMs / STEP_MS, toMs / STEP_MS);
      const possible = ((toMs - fromMs) / MS_PER_S) * capacityPerSecond;
      return steps.reduce((sum, done) => sum + done, 0) / possible;
    },
    admittedShareAt(account, instance) {
      const { admitted, demanded } = sumOf(
        requests.filter(({ account: name, instance: at }) => name === account && at === instance),
      );
      return admitted / demanded;
    },
    messages,
    largestMessageBytes,
    lastShareRefusalMs,
  };
}
