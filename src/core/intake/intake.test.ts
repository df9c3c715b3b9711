import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createMemoryLogger } from '../../testing';
import { createSeededRandom } from '../random';
import { INTAKE_EVENTS, createIntake, createLoopWatch } from '.';

/**
 * Maximum number of requests that may be served after their callers have left: a caller may close
 * its connection just as its request is served.
 */
const MAX_WASTED_REQUESTS = 3;
/** Properties of the callers in the burst, ms. */
const OBJECTIVE_MS = 600;
const CALLER_TIMEOUT_MS = 2_500;
const DEADLINE_MS = 5_000;
/** Costs of one request for a process that gets an eighth of a processor, ms. */
const ACCEPT_COST_MS = 2;
const READ_COST_MS = 4;
const SERVE_COST_MS = 50;
const TICK_MS = 50;

interface Caller {
  readonly sentAtMs: number;
  startedAtMs: number | undefined;
  refusedAtMs: number | undefined;
}

interface SimulationResult {
  readonly callers: readonly Caller[];
  readonly maxTurnMs: number;
  readonly events: readonly number[];
}

/** Connections of a burst: existing ones, or new ones, of which each turn of the loop accepts one. */
type Connections = 'kept' | 'new';

/** Whether requests go through the intake, or are served as they are read. */
type ServingMode = 'intake' | 'as read';

/** Simulates an event loop on a processor whose time the test advances. */
function simulate(
  sentAtMs: readonly number[],
  seed: number,
  connections: Connections,
  mode: ServingMode,
): SimulationResult {
  let nowMs = 0;
  let ends: (() => void)[] = [];
  const logger = createMemoryLogger();
  const loopWatch = createLoopWatch();
  const intake = createIntake({
    clock: { monotonicMs: () => nowMs },
    turns: { atTurnEnd: (callback) => ends.push(callback) },
    random: createSeededRandom(seed),
    logger,
    loopWatch,
  });
  const callers = sentAtMs.map((atMs): Caller => {
    const sent = { sentAtMs: atMs };
    return { ...sent, startedAtMs: undefined, refusedAtMs: undefined };
  });
  const unaccepted = [...callers];
  let unread: Caller[] = [];
  /** Time at which the loop last polled its sockets; a later close is not known yet. */
  let polledAtMs = 0;
  let dueAtMs = TICK_MS;
  let maxTurnMs = 0;
  const lastMs = Math.max(...sentAtMs) + DEADLINE_MS;

  const accept = (turnAtMs: number): void => {
    const arrived = unaccepted.filter((caller) => caller.sentAtMs <= turnAtMs);
    const accepted = connections === 'kept' ? arrived : arrived.slice(0, 1);
    unaccepted.splice(0, accepted.length);
    unread.push(...accepted);
    if (connections === 'kept' || accepted.length === 0) return;
    nowMs += ACCEPT_COST_MS;
    intake.recordConnection();
  };

  const read = (caller: Caller): void => {
    nowMs += READ_COST_MS;
    const receivedAtMs = nowMs - loopWatch.waitedMs(nowMs);
    const request = {
      answerDeadlineMs: receivedAtMs + DEADLINE_MS,
      isGone: () => polledAtMs >= caller.sentAtMs + CALLER_TIMEOUT_MS,
      drop() {},
      refuse() {
        Object.assign(caller, { refusedAtMs: nowMs });
      },
      serve() {
        Object.assign(caller, { startedAtMs: nowMs });
        nowMs += SERVE_COST_MS;
      },
    };
    if (mode === 'intake') intake.enter(request);
    else request.serve();
  };

  while (nowMs < lastMs) {
    const turnAtMs = nowMs;
    if (nowMs >= dueAtMs) {
      loopWatch.recordTick(dueAtMs, nowMs + TICK_MS, nowMs);
      dueAtMs = nowMs + TICK_MS;
    }
    polledAtMs = nowMs;
    // Requests on a connection that is accepted in one turn are read in the next; requests on an
    // existing connection, in the turn that finds them.
    const found = unread;
    unread = [];
    accept(turnAtMs);
    if (connections === 'kept') found.push(...unread.splice(0));
    found.forEach(read);
    const atEnd = ends;
    ends = [];
    for (const callback of atEnd) callback();
    maxTurnMs = Math.max(maxTurnMs, nowMs - turnAtMs);
    if (nowMs === turnAtMs) nowMs += 1;
  }
  const events = logger.lines.map(({ definition }) => definition.id);
  return { callers, maxTurnMs, events };
}

/**
 * Returns the arrival times of a burst within one second, and of some requests per second for a
 * while after it.
 */
function burstArrivals(seed: number): readonly number[] {
  const random = createSeededRandom(seed);
  const returning = Array.from({ length: 150 }, () => 1_000 + random.next() * 1_000);
  const usual = Array.from({ length: 80 }, (_unused, index) => 2_000 + index * 100);
  return [...returning, ...usual].sort((left, right) => left - right);
}

const startedInTime = ({ callers }: SimulationResult) =>
  callers.filter((caller) => (caller.startedAtMs ?? Infinity) - caller.sentAtMs <= OBJECTIVE_MS);
const startedAfterCallerLeft = ({ callers }: SimulationResult) =>
  callers.filter((caller) => (caller.startedAtMs ?? 0) - caller.sentAtMs > CALLER_TIMEOUT_MS + 500);

/**
 * After a power loss of all instances, all callers come at once to the instances that are up first,
 * which have an eighth of a processor each. In one turn of its loop such an instance finds a
 * hundred requests and serves them one after the other for five seconds. Callers that come
 * meanwhile wait unread, give up, and are nevertheless served in the next turn. For ten seconds
 * almost no caller is answered, although servers are free.
 */
describe('a burst of callers at an instance with little processor time', () => {
  const bursts = [1, 2, 3].flatMap((seed) => [
    { seed, connections: 'kept' as const },
    { seed, connections: 'new' as const },
  ]);
  for (const { seed, connections } of bursts) {
    const name = `on ${connections} connections (seed ${seed})`;
    const asRead = simulate(burstArrivals(seed), seed, connections, 'as read');
    const result = simulate(burstArrivals(seed), seed, connections, 'intake');

    it(`causes almost no work for callers that have left, ${name}`, () => {
      assert.ok(
        startedAfterCallerLeft(asRead).length > 10,
        'the burst wastes work without the intake',
      );
      const count = startedAfterCallerLeft(result).length;
      assert.ok(count <= MAX_WASTED_REQUESTS, `${count} after their callers had left`);
    });

    it(`is served in time as far as the processor allows, ${name}`, () => {
      const [withIntake, withoutIntake] = [
        startedInTime(result).length,
        startedInTime(asRead).length,
      ];
      assert.ok(
        withIntake >= withoutIntake * 1.5,
        `${withIntake} in time, ${withoutIntake} served as read`,
      );
    });

    it(`leaves time in the loop for everything else, ${name}`, () => {
      const maxMs = 200;
      assert.ok(result.maxTurnMs <= maxMs, `${result.maxTurnMs} ms in one turn`);
    });

    it(`ends, and its end is logged, ${name}`, () => {
      const { callers, events } = result;
      assert.equal(events[0], INTAKE_EVENTS.began.id);
      assert.equal(events.at(-1), INTAKE_EVENTS.ended.id);
      const last = callers.filter(({ sentAtMs }) => sentAtMs > 8_000);
      assert.ok(last.every(({ startedAtMs }) => startedAtMs !== undefined));
    });
  }
});

describe('requests at an instance that is in time', () => {
  it('are served immediately, without a log line', () => {
    const sentAtMs = Array.from({ length: 40 }, (_unused, index) => 100 + index * 200);
    const { callers, events } = simulate(sentAtMs, 1, 'new', 'intake');
    const waits = callers.map((caller) => (caller.startedAtMs ?? Infinity) - caller.sentAtMs);
    const maxMs = ACCEPT_COST_MS + READ_COST_MS + 1;
    assert.ok(Math.max(...waits) <= maxMs, `${Math.max(...waits)} ms`);
    assert.deepEqual(events, []);
  });
});
