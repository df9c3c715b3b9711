import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { createPauses } from './pauses';
import type { Pauses } from './pauses';

const SERVER = 's-1';
const PAUSE_MS = 3_000;

/** Runs until `untilMs` and sends a request whenever that is allowed, at most one in `everyMs`. */
function sendWhenAllowed(
  pauses: Pauses,
  { fromMs, untilMs, everyMs }: { fromMs: number; untilMs: number; everyMs: number },
): readonly number[] {
  const sentAtMs: number[] = [];
  for (let nowMs = fromMs; nowMs < untilMs; nowMs += everyMs) {
    if (pauses.waitMs(SERVER, nowMs) > 0) continue;
    pauses.recordSent(SERVER, nowMs);
    sentAtMs.push(nowMs);
  }
  return sentAtMs;
}

// Guards against requests at a server in a pause: a newer refusal states a shorter time, or the answer to a request
// that was sent before the pause arrives during it.
describe('a pause', () => {
  const CASES: readonly {
    readonly name: string;
    readonly happens: (pauses: Pauses) => void;
    readonly endsAtMs: number;
  }[] = [
    { name: 'the stated time', happens() {}, endsAtMs: PAUSE_MS },
    { name: 'a shorter one', happens: (p) => p.begin(SERVER, 100, 500), endsAtMs: PAUSE_MS },
    { name: 'a longer one', happens: (p) => p.begin(SERVER, 5_000, 500), endsAtMs: 5_500 },
    { name: 'an answer', happens: (p) => p.recordAnswer(SERVER, 500), endsAtMs: PAUSE_MS },
    { name: 'a refusal', happens: (p) => p.recordRefusal(SERVER, 500), endsAtMs: PAUSE_MS },
  ];
  for (const { name, happens, endsAtMs } of CASES) {
    it(`lasts until the longest time stated: ${name}`, () => {
      const pauses = createPauses();
      assert.ok(pauses.begin(SERVER, PAUSE_MS, 0));
      happens(pauses);
      assert.equal(pauses.waitMs(SERVER, 600), endsAtMs - 600);
      assert.deepEqual(pauses.takeDueChecks(endsAtMs - 1), []);
      assert.deepEqual(pauses.takeDueChecks(endsAtMs), [SERVER]);
    });
  }

  it('of an impossible length ends, so that the server is not lost for good', () => {
    const pauses = createPauses();
    pauses.begin(SERVER, 1e12, 0);
    assert.deepEqual(pauses.takeDueChecks(300_000), [SERVER]);
  });

  it('concerns one start of a server', () => {
    const pauses = createPauses();
    pauses.begin(SERVER, PAUSE_MS, 0);
    assert.equal(pauses.waitMs('s-2', 1), 0);
    pauses.keepOnly(new Set(['s-2']));
    assert.equal(pauses.waitMs(SERVER, 1), 0);
  });
});

// Guards against a burst at the end of a pause: the server has no work then, so it would be selected for all requests.
describe('the end of a pause', () => {
  it('sends no request before a health check has been answered', () => {
    const pauses = createPauses();
    pauses.begin(SERVER, PAUSE_MS, 0);
    const sent = sendWhenAllowed(pauses, { fromMs: PAUSE_MS, untilMs: PAUSE_MS + 500, everyMs: 1 });
    assert.deepEqual(sent, []);
  });

  it('raises the rate of requests over 2 s', () => {
    const pauses = createPauses();
    pauses.begin(SERVER, PAUSE_MS, 0);
    assert.deepEqual(pauses.takeDueChecks(PAUSE_MS), [SERVER]);
    assert.ok(pauses.recordAnswer(SERVER, PAUSE_MS));
    const sent = sendWhenAllowed(pauses, {
      fromMs: PAUSE_MS,
      untilMs: PAUSE_MS + 3_000,
      everyMs: 1,
    });
    const countWithin = (ms: number) => sent.filter((atMs) => atMs < PAUSE_MS + ms).length;
    assert.ok(countWithin(200) <= 2, `${countWithin(200)} in 0.2 s`);
    assert.ok(countWithin(1_000) <= 20, `${countWithin(1_000)} in 1 s`);
    assert.equal(sent.filter((atMs) => atMs >= PAUSE_MS + 2_000).length, 1_000);
  });

  it('is followed by the next pause if the health check or a request is refused', () => {
    const pauses = createPauses();
    pauses.begin(SERVER, PAUSE_MS, 0);
    assert.deepEqual(pauses.takeDueChecks(PAUSE_MS), [SERVER]);
    pauses.recordRefusal(SERVER, PAUSE_MS + 1);
    assert.deepEqual(pauses.takeDueChecks(PAUSE_MS + 1_000), []);
    assert.deepEqual(pauses.takeDueChecks(PAUSE_MS + 1_001), [SERVER]);
    pauses.recordAnswer(SERVER, PAUSE_MS + 1_002);
    pauses.recordRefusal(SERVER, PAUSE_MS + 1_010);
    assert.ok(pauses.waitMs(SERVER, PAUSE_MS + 1_011) > 0);
  });

  it('sends a request a second if no health check is answered', () => {
    const pauses = createPauses();
    pauses.begin(SERVER, PAUSE_MS, 0);
    const sent: number[] = [];
    for (let nowMs = PAUSE_MS; nowMs < PAUSE_MS + 10_000; nowMs += 10) {
      pauses.takeDueChecks(nowMs);
      sent.push(...sendWhenAllowed(pauses, { fromMs: nowMs, untilMs: nowMs + 1, everyMs: 1 }));
    }
    assert.ok(sent.length >= 6 && sent.length <= 8, `${sent.length} requests in 10 s`);
  });

  it('leaves nothing behind', () => {
    const pauses = createPauses();
    pauses.begin(SERVER, PAUSE_MS, 0);
    pauses.takeDueChecks(PAUSE_MS);
    pauses.recordAnswer(SERVER, PAUSE_MS);
    assert.equal(pauses.count(PAUSE_MS), 0);
    assert.equal(pauses.waitMs(SERVER, PAUSE_MS + 2_000), 0);
    assert.ok(pauses.begin(SERVER, PAUSE_MS, PAUSE_MS + 2_000));
  });
});

/** One step of a random history: time passes, and then something happens. */
const step = fc.record({
  afterMs: fc.integer({ min: 0, max: 4_000 }),
  happens: fc.oneof(
    fc.record({ kind: fc.constant('pause' as const), waitMs: fc.integer({ min: 1, max: 8_000 }) }),
    fc.record({ kind: fc.constantFrom('answer', 'refusal', 'send', 'check') }),
  ),
});

// Guards against orders of answers that nobody thought of: late, repeated, and of requests from before the pause.
describe('any history of answers', () => {
  it('sends nothing within a stated pause, and has the server in use in the end', () => {
    const history = fc.array(step, { maxLength: 60 });
    fc.assert(
      fc.property(history, (steps) => {
        const pauses = createPauses();
        let nowMs = 0;
        let bindsUntilMs = 0;
        for (const { afterMs, happens } of steps) {
          nowMs += afterMs;
          if (nowMs < bindsUntilMs) assert.ok(pauses.waitMs(SERVER, nowMs) >= bindsUntilMs - nowMs);
          switch (happens.kind) {
            case 'pause':
              pauses.begin(SERVER, happens.waitMs, nowMs);
              bindsUntilMs = Math.max(bindsUntilMs, nowMs + happens.waitMs);
              break;
            case 'answer':
              pauses.recordAnswer(SERVER, nowMs);
              break;
            case 'refusal':
              pauses.recordRefusal(SERVER, nowMs);
              break;
            case 'send':
              if (pauses.waitMs(SERVER, nowMs) === 0) pauses.recordSent(SERVER, nowMs);
              break;
            default:
              if (pauses.takeDueChecks(nowMs).length > 0) assert.ok(nowMs >= bindsUntilMs);
          }
        }
        // From here on, the server answers everything.
        const endMs = nowMs + 12_000;
        for (; nowMs < endMs; nowMs += 50) {
          if (pauses.takeDueChecks(nowMs).length > 0) pauses.recordAnswer(SERVER, nowMs);
        }
        assert.equal(pauses.waitMs(SERVER, nowMs), 0);
      }),
      { seed: 46, numRuns: 500 },
    );
  });
});
