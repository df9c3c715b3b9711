import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { versionName } from './version-name';

describe('the name of a software version', () => {
  for (const text of ['v1', '1.2.3-rc.4+build', 'nightly', 'V1', '!']) {
    it(`is the text itself: ${text}`, () => assert.equal(versionName(text), text));
  }

  // A version goes into header values, messages and log lines of instances, whatever a server announces.
  for (const [what, text] of [
    ['empty', ''],
    ['of 10,000 characters', 'v'.repeat(10_000)],
    ['with control characters', 'v1\r\nX-Injected: 1'],
    ['with other letters', 'vérsion'],
    ['that looks like a name of another one', 'sha256:abc'],
  ] as const) {
    it(`is short and visible ASCII for a text ${what}`, () => {
      assert.match(versionName(text), /^sha256:[!-~]{16}$/u);
    });
  }

  it('differs for different texts', () => {
    const texts = ['', ' ', 'v'.repeat(100), 'v'.repeat(101), 'v1 ', 'v1'];
    assert.equal(new Set(texts.map(versionName)).size, texts.length);
  });
});
