import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { parseRetryAfter } from './parse-retry-after';
import type { StatedPause } from './types';

const NOW_UNIX_MS = Date.UTC(2026, 0, 1);
const NONE: StatedPause = { kind: 'none' };
const pauseOf = (waitMs: number): StatedPause => ({ kind: 'pause', waitMs });
const malformed = (text: string): StatedPause => ({ kind: 'malformed', text });

const CASES: readonly {
  readonly name: string;
  readonly value: string | string[] | undefined;
  readonly pause: StatedPause;
}[] = [
  { name: 'no header', value: undefined, pause: NONE },
  { name: 'whole seconds', value: '3', pause: pauseOf(3_000) },
  { name: 'a fraction', value: ' 0.25 ', pause: pauseOf(250) },
  { name: 'zero', value: '0', pause: NONE },
  { name: 'a date to come', value: 'Thu, 01 Jan 2026 00:00:05 GMT', pause: pauseOf(5_000) },
  { name: 'a date long past', value: 'Sun, 06 Nov 1994 08:49:37 GMT', pause: NONE },
  ...['', 'soon', '-1', 'NaN', 'Infinity', '1e9', '9'.repeat(40), '2026-01-01'].map((value) => ({
    name: `the text ${JSON.stringify(value)}`,
    value,
    pause: malformed(value),
  })),
  { name: 'a header sent twice', value: ['1', '2'], pause: malformed('1, 2') },
  { name: 'a joined header', value: '1, 2', pause: malformed('1, 2') },
];

describe('the value of a Retry-After header', () => {
  for (const { name, value, pause } of CASES) {
    it(`is read: ${name}`, () => {
      assert.deepEqual(parseRetryAfter(value, NOW_UNIX_MS), pause);
    });
  }
});
