import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { Caller } from '../configuration';
import { toEntryAnswer } from './entry-answer';
import { entryKey } from './entry-key';

const caller = (requestsPerSecond: number): Caller => ({
  id: 'dealer',
  keySha256: '0'.repeat(64),
  regions: ['rundu'],
  limits: { requestsPerSecond, burstRequests: 1 },
});

const keysOf = (requestsPerSecond: number) =>
  new Set(
    Array.from({ length: 500 }, (_unused, machine) =>
      entryKey(caller(requestsPerSecond), `10.1.${Math.floor(machine / 250)}.${machine % 250}`),
    ),
  );

describe('the key of a caller’s entry', () => {
  const cases = [
    { requestsPerSecond: 50, keys: 1 },
    { requestsPerSecond: 100, keys: 1 },
    { requestsPerSecond: 350, keys: 4 },
  ];
  for (const { requestsPerSecond, keys } of cases) {
    it(`splits a caller of ${requestsPerSecond} requests/s into ${keys}`, () => {
      assert.equal(keysOf(requestsPerSecond).size, keys);
    });
  }

  it('gives one machine always the same key', () => {
    assert.equal(entryKey(caller(5_000), '10.1.2.3'), entryKey(caller(5_000), '10.1.2.3'));
  });

  // Callers that lost their instance at the same moment request another at the same time, and would keep doing
  // so.
  it('spreads the times at which callers request an entry again', () => {
    const member = {
      instanceId: 'rundu-a-1',
      incarnation: 1,
      sequence: 1,
      region: 'rundu',
      failureDomain: 'rundu-a',
      callerAddress: '',
      peerAddress: '',
      status: 'alive',
      configurationVersion: 1,
      inFlightRequests: 0,
    } as const;
    const choice = { entry: member, fallbacks: [] };
    const times = [0, 0.5, 0.999].map((jitter) => toEntryAnswer(choice, 0, jitter));
    assert.deepEqual(
      times.map(({ askAgainAtUnixMs }) => askAgainAtUnixMs),
      [10_000, 8_000, 6_004],
    );
  });
});
