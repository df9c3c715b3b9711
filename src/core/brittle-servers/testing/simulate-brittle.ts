import { createSeededRandom } from '../../random';
import { createFakeClock, createMemoryLogger } from '../../../testing';
import { createBrittleServers } from '../create-brittle-servers';
import type { BrittleServers } from '../create-brittle-servers';
import type { SlotLease } from '../types';

/** A region of instances before servers that fail if they have to reject many requests. */
export interface BrittleScenario {
  readonly seed: number;
  readonly instances: number;
  readonly servers: number;
  /** Rejections within a second that a server bears. */
  readonly maxRejections: number;
  readonly requestsPerSecond: number;
  /** Share of the messages between instances that are lost, from 0 to 1. */
  readonly lostShare: number;
  /** Whether instances read what servers state. */
  readonly readsStatements: boolean;
}

/** What came of a scenario. */
export interface BrittleResult {
  /** Times that a server failed. */
  readonly falls: number;
  /** Requests served, as a share of what the servers can do. */
  readonly use: number;
}

const SERVICE = 'chat';
const SLOTS = 4;
const QUEUE = 2;
const WORK_MS = 200;
const DOWN_MS = 3_000;
const RUN_MS = 18_000;
const STEP_MS = 1;
const MESSAGE_DELAY_MS = 2;
const RETRY_MS = 400;
/** Servers that a request is sent to at most. */
const MAX_TRIES = 3;

interface SimulatedServer {
  id: string;
  starts: number;
  downUntilMs: number;
  running: number;
  waiting: (() => void)[];
  rejectedAtMs: number[];
}

/** Plays a scenario on a fake clock. */
export function simulateBrittle(scenario: BrittleScenario): BrittleResult {
  const clock = createFakeClock();
  const random = createSeededRandom(scenario.seed);
  const startMs = clock.monotonicMs();
  const nowMs = () => clock.monotonicMs();
  const after = (ms: number, callback: () => void) => clock.schedule(nowMs() + ms, callback);
  const members = Array.from({ length: scenario.instances }, (_unused, index) => ({
    instanceId: `i-${index}`,
    region: 'north',
    address: `i-${index}`,
  }));
  const instances: BrittleServers[] = members.map((self) =>
    createBrittleServers({
      clock,
      logger: createMemoryLogger(),
      self: () => self,
      peers: () => members.filter((member) => member !== self),
      reachableShare: () => 1,
      send(address, text) {
        if (random.next() < scenario.lostShare) return;
        const receiver = members.findIndex((member) => member.address === address);
        after(MESSAGE_DELAY_MS, () => instances[receiver]?.receive(text));
      },
    }),
  );
  const servers: SimulatedServer[] = Array.from({ length: scenario.servers }, (_unused, index) => ({
    id: `s-${index}`,
    starts: 0,
    downUntilMs: 0,
    running: 0,
    waiting: [],
    rejectedAtMs: [],
  }));
  let falls = 0;
  let served = 0;

  const fall = (server: SimulatedServer): void => {
    falls += 1;
    Object.assign(server, {
      id: `${server.id}+`,
      starts: server.starts + 1,
      downUntilMs: nowMs() + DOWN_MS,
      running: 0,
      waiting: [],
      rejectedAtMs: [],
    });
  };

  const run = (server: SimulatedServer, onEnd: () => void): void => {
    const { starts } = server;
    Object.assign(server, { running: server.running + 1 });
    after(WORK_MS, () => {
      onEnd();
      if (server.starts !== starts) return;
      served += 1;
      Object.assign(server, { running: server.running - 1 });
      server.waiting.shift()?.();
    });
  };

  const reject = (server: SimulatedServer): void => {
    const recent = server.rejectedAtMs.filter((atMs) => nowMs() - atMs < 1_000);
    Object.assign(server, { rejectedAtMs: [...recent, nowMs()] });
    if (server.rejectedAtMs.length > scenario.maxRejections) fall(server);
  };

  const knownServer = ({ id }: SimulatedServer) => ({
    incarnationId: id,
    service: SERVICE,
    slots: SLOTS,
  });

  const state = (instance: BrittleServers, server: SimulatedServer): void => {
    if (!scenario.readsStatements) return;
    const { maxRejections: maxRejectionsPerSecond } = scenario;
    instance.observe(knownServer(server), { kind: 'brittle', maxRejectionsPerSecond });
  };

  function request(instance: BrittleServers, tries: number, isRepeat: boolean): void {
    const usable = servers.filter(
      (server) => server.downUntilMs <= nowMs() && instance.waitMs(server.id) === 0,
    );
    const server = usable[Math.floor(random.next() * usable.length)];
    if (server === undefined || tries >= MAX_TRIES) {
      if (!isRepeat) after(RETRY_MS, () => request(instance, 0, true));
      return;
    }
    instance.requestSlot(knownServer(server), (verdict) => {
      if (verdict.kind === 'denied') {
        request(instance, tries + 1, isRepeat);
        return;
      }
      const { lease }: { lease: SlotLease } = verdict;
      const end = (wasRejected: boolean) => () => {
        lease.release(wasRejected);
        state(instance, server);
      };
      if (server.running < SLOTS) run(server, end(false));
      else if (server.waiting.length < QUEUE) {
        server.waiting.push(() => run(server, end(false)));
      } else {
        reject(server);
        end(true)();
        request(instance, tries + 1, isRepeat);
      }
    });
  }

  instances.forEach((instance) => servers.forEach((server) => state(instance, server)));
  let due = 0;
  while (nowMs() - startMs < RUN_MS) {
    due += (scenario.requestsPerSecond * STEP_MS) / 1_000;
    for (; due >= 1; due -= 1) {
      const instance = instances[Math.floor(random.next() * instances.length)];
      if (instance !== undefined) request(instance, 0, false);
    }
    if ((nowMs() - startMs) % 50 === 0) instances.forEach((instance) => instance.runDue());
    clock.advanceBy(STEP_MS);
  }
  const capacity = (scenario.servers * SLOTS * RUN_MS) / WORK_MS;
  return { falls, use: served / capacity };
}
