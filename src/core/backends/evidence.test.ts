import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { judgeOutcome } from '../outcomes';
import { evidenceAfterSending, evidenceOfFailure } from './evidence';

function failure(fields: Record<string, string>): Error {
  return Object.assign(new Error('failed'), fields);
}

// The same error code comes from a connection that was never made and from one that broke after an order had
// been written to it. Only the first proves that nothing ran.
describe('a failed send', () => {
  const cases = [
    { error: failure({ code: 'ECONNREFUSED', syscall: 'connect' }), outcome: 'notRun' },
    { error: failure({ code: 'EHOSTUNREACH', syscall: 'connect' }), outcome: 'notRun' },
    { error: failure({ code: 'ETIMEDOUT', syscall: 'connect' }), outcome: 'notRun' },
    { error: failure({ code: 'UND_ERR_CONNECT_TIMEOUT' }), outcome: 'notRun' },
    { error: failure({ code: 'EHOSTUNREACH', syscall: 'read' }), outcome: 'unknown' },
    { error: failure({ code: 'ETIMEDOUT', syscall: 'read' }), outcome: 'unknown' },
    { error: failure({ code: 'ECONNRESET', syscall: 'write' }), outcome: 'unknown' },
    { error: failure({ code: 'ECONNREFUSED' }), outcome: 'unknown' },
    { error: failure({ code: 'UND_ERR_SOCKET' }), outcome: 'unknown' },
    { error: failure({ code: 'UND_ERR_HEADERS_TIMEOUT' }), outcome: 'unknown' },
    { error: failure({ code: 'UND_ERR_BODY_TIMEOUT' }), outcome: 'unknown' },
    { error: 'not even an error', outcome: 'unknown' },
  ];
  for (const { error, outcome } of cases) {
    it(`with ${JSON.stringify(error)} is ${outcome}`, () => {
      assert.equal(judgeOutcome(evidenceOfFailure(error)), outcome);
    });
  }

  it('never proves anything once bytes are known to have left', () => {
    const error = failure({ code: 'ECONNREFUSED', syscall: 'connect' });
    assert.equal(judgeOutcome(evidenceAfterSending(error)), 'unknown');
  });
});
