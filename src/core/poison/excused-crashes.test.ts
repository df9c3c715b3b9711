import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createCrashLedger } from './crash-ledger';
import type { CrashLedger } from './crash-ledger';

const OPTIONS = { crashesToRefuse: 3, refuseForMs: 900_000, refuseAtMostMs: 86_400_000 };
const REQUEST = 'fingerprint';

function noteCrash(ledger: CrashLedger, number: number): void {
  const mark = { tryId: `try-${number}`, serverId: `server-${number}`, atUnixMs: number * 10_000 };
  ledger.note(REQUEST, mark);
}

const NOW_UNIX_MS = 100_000;
const kindOf = (ledger: CrashLedger) => ledger.verdict(REQUEST, NOW_UNIX_MS).kind;

describe('a crash whose cause is known to be another one', () => {
  // A sound request is cut off by three servers that crash on a part of other prompts. It must not be refused for that.
  it('no longer counts against the requests that were there', () => {
    const ledger = createCrashLedger(() => OPTIONS);
    for (const number of [1, 2, 3]) noteCrash(ledger, number);
    assert.equal(kindOf(ledger), 'refused');
    ledger.excuse('server-2');
    assert.equal(kindOf(ledger), 'suspect');
    ledger.excuse('server-1');
    ledger.excuse('server-3');
    assert.equal(kindOf(ledger), 'unknown');
    assert.equal(ledger.size, 0);
  });

  it('does not count either if it is told of later', () => {
    const ledger = createCrashLedger(() => OPTIONS);
    for (const number of [1, 2, 3]) ledger.excuse(`server-${number}`);
    for (const number of [1, 2, 3]) noteCrash(ledger, number);
    assert.equal(kindOf(ledger), 'unknown');
  });

  it('leaves other crashes as they are', () => {
    const ledger = createCrashLedger(() => OPTIONS);
    for (const number of [1, 2, 3, 4]) noteCrash(ledger, number);
    ledger.excuse('server-4');
    assert.equal(kindOf(ledger), 'refused');
  });
});
