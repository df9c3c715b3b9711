import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { RefusalError } from '../refusals';
import { createForwardLedger } from './forward-ledger';
import type { AttemptId } from './forward-ledger';

const KEY = 'ticket-1';

function attempt(serial: number, changes: Partial<AttemptId> = {}): AttemptId {
  return {
    fromInstanceId: 'rundu-a',
    fromIncarnation: 10,
    toIncarnation: 20,
    serial,
    ...changes,
  };
}

function setUp(attemptsPerSender = 8) {
  let nowMs = 0;
  const ledger = createForwardLedger({ incarnation: 20, nowMs: () => nowMs, attemptsPerSender });
  return {
    ledger,
    sleepUntil(atMs: number) {
      nowMs = atMs;
    },
  };
}

function outcomeOf(action: () => unknown): string {
  try {
    action();
    return 'taken in';
  } catch (error) {
    assert.ok(error instanceof RefusalError);
    return error.outcome;
  }
}

describe('an attempt from another instance', () => {
  it('is never sent once its cancellation was vouched for, whichever came first', () => {
    // The two instances lose each other for a moment, and the cancellation overtakes the order, or finds it
    // waiting. The caller was told "not run" and has placed the order again elsewhere.
    const { ledger } = setUp();
    assert.equal(ledger.cancel(attempt(1)), true);
    assert.equal(
      outcomeOf(() => ledger.receive(attempt(1), 100, KEY)),
      'notRun',
    );

    const guard = ledger.receive(attempt(2), 100, KEY);
    assert.equal(ledger.cancel(attempt(2)), true);
    assert.equal(
      outcomeOf(() => guard.beginSend()),
      'notRun',
    );
  });

  it('is not vouched for once it may have left', () => {
    const { ledger } = setUp();
    const guard = ledger.receive(attempt(1), 100, KEY);
    guard.beginSend();
    assert.equal(ledger.cancel(attempt(1)), false);
    guard.finish();
    assert.equal(ledger.cancel(attempt(1)), false);
    assert.equal(
      outcomeOf(() => ledger.receive(attempt(1), 100, KEY)),
      'unknown',
    );
  });

  it('is not vouched for while one of two sends may have left', () => {
    const { ledger } = setUp();
    const guard = ledger.receive(attempt(1), 100, undefined);
    guard.beginSend();
    guard.beginSend();
    guard.sendFailed({ kind: 'neverSent' });
    assert.equal(ledger.cancel(attempt(1)), false);
  });

  it('is not sent by a peer that slept past its deadline', () => {
    // The peer's process is stopped with the order in hand and wakes when its caller has given up.
    const { ledger, sleepUntil } = setUp();
    const guard = ledger.receive(attempt(1), 100, KEY);
    sleepUntil(100);
    assert.equal(
      outcomeOf(() => guard.beginSend()),
      'notRun',
    );
  });

  it('with a key is sent once, also where nobody retries on purpose', () => {
    const { ledger } = setUp();
    const guard = ledger.receive(attempt(1), 100, KEY);
    guard.beginSend();
    assert.equal(
      outcomeOf(() => guard.beginSend()),
      'unknown',
    );
  });

  it('for a process that was replaced is not vouched for by its successor', () => {
    // An instance restarts under its name between the order and the question what became of it. The new
    // process has never seen the order; the old one may have sent it.
    const { ledger } = setUp();
    assert.equal(ledger.cancel(attempt(1, { toIncarnation: 19 })), false);
    const toOld = attempt(1, { toIncarnation: 19 });
    assert.equal(
      outcomeOf(() => ledger.receive(toOld, 100, KEY)),
      'notRun',
    );
  });

  it('of a process that was replaced keeps its own record, whatever the wall clock did', () => {
    // The sender restarts while its clock is being set back, so that the new process seems the older one. Its
    // orders must be taken in, and what was cancelled for the old process must stay so.
    const { ledger } = setUp();
    assert.equal(ledger.cancel(attempt(1, { fromIncarnation: 11 })), true);
    const guard = ledger.receive(attempt(1, { fromIncarnation: 10 }), 100, KEY);
    guard.beginSend();
    const late = attempt(1, { fromIncarnation: 11 });
    assert.equal(
      outcomeOf(() => ledger.receive(late, 100, KEY)),
      'notRun',
    );
    const repeated = attempt(1, { fromIncarnation: 10 });
    assert.equal(
      outcomeOf(() => ledger.receive(repeated, 100, KEY)),
      'unknown',
    );
  });

  it('stays refused when its tombstone had to make room for others', () => {
    // A flood of cancellations in an outage fills the memory for tombstones. The order that was cancelled
    // first arrives at last, and must still not be sent.
    const { ledger } = setUp(8);
    for (let serial = 1; serial <= 100; serial += 1) {
      assert.equal(ledger.cancel(attempt(serial)), true);
    }
    assert.ok(ledger.size() <= 8);
    for (let serial = 1; serial <= 100; serial += 1) {
      assert.notEqual(
        outcomeOf(() => ledger.receive(attempt(serial), 100, KEY)),
        'taken in',
      );
    }
    assert.equal(
      outcomeOf(() => ledger.receive(attempt(101), 100, KEY)),
      'taken in',
    );
  });
});
