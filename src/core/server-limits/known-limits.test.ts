import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createMemoryLogger } from '../../testing';
import { createKnownLimits } from './known-limits';
import type { NamedLimit } from './types';

const NONE: NamedLimit = { kind: 'none' };
const MALFORMED: NamedLimit = { kind: 'malformed', text: 'many'.repeat(100) };
const limitOf = (perSecond: number): NamedLimit => ({ kind: 'limit', perSecond });

function createLimits() {
  const logger = createMemoryLogger();
  const limits = createKnownLimits(logger);
  return {
    limits,
    observe: (named: NamedLimit, observedAtMs: number) =>
      limits.observe({ incarnationId: 's-1', named, observedAtMs, source: 'answer' }, observedAtMs),
    names: () => logger.lines.map(({ definition }) => definition.name),
    lines: logger.lines,
  };
}

// An instance that goes by an outdated answer keeps away from a server that works again, or overloads one that does not.
describe('the limit of a server', () => {
  const cases: readonly {
    readonly name: string;
    readonly observations: readonly (readonly [NamedLimit, number])[];
    readonly expected: number | undefined;
  }[] = [
    { name: 'is the one in its answer', observations: [[limitOf(2), 0]], expected: 2 },
    { name: 'may be 0', observations: [[limitOf(0), 0]], expected: 0 },
    {
      name: 'follows the newest answer',
      observations: [
        [limitOf(2), 0],
        [limitOf(0.25), 10],
      ],
      expected: 0.25,
    },
    {
      name: 'is not replaced by an older answer that arrives later',
      observations: [
        [limitOf(2), 10],
        [limitOf(50), 5],
        [NONE, 5],
      ],
      expected: 2,
    },
    {
      name: 'ends with an answer that names none',
      observations: [
        [limitOf(2), 0],
        [NONE, 10],
      ],
      expected: undefined,
    },
    {
      name: 'does not come back by an older answer',
      observations: [
        [limitOf(2), 0],
        [NONE, 10],
        [limitOf(2), 9],
      ],
      expected: undefined,
    },
    {
      name: 'remains if an answer has a malformed one',
      observations: [
        [limitOf(2), 0],
        [MALFORMED, 10],
      ],
      expected: 2,
    },
  ];
  for (const { name, observations, expected } of cases) {
    it(name, () => {
      const { limits, observe } = createLimits();
      for (const [named, atMs] of observations) observe(named, atMs);
      assert.equal(limits.get('s-1')?.perSecond, expected);
    });
  }

  it('ends with the start of the server that named it', () => {
    const { limits, observe } = createLimits();
    observe(limitOf(2), 0);
    limits.keepOnly(new Set(['s-1@2']));
    assert.equal(limits.get('s-1'), undefined);
  });
});

describe('the log of limits', () => {
  it('has one line when a limit is learned, when it changes and when it ends', () => {
    const { observe, names } = createLimits();
    observe(limitOf(2), 0);
    observe(limitOf(2), 500);
    observe(limitOf(3), 2_000);
    observe(NONE, 3_000);
    observe(NONE, 3_500);
    assert.deepEqual(names(), [
      'server-limit-learned',
      'server-limit-changed',
      'server-limit-ended',
    ]);
  });

  // A server that names another limit in each answer would fill the log.
  it('has at most one line a second for a limit that changes with each answer', () => {
    const { observe, names } = createLimits();
    for (let atMs = 0; atMs < 10_000; atMs += 10) observe(limitOf(atMs), atMs);
    assert.ok(names().length <= 11, `${names().length} lines`);
  });

  it('has one short line for a server that names malformed limits', () => {
    const { observe, lines } = createLimits();
    for (let atMs = 0; atMs < 100; atMs += 1) observe(MALFORMED, atMs);
    assert.equal(lines.length, 1);
    assert.equal(String(lines[0]?.fields.value).length, 40);
  });
});
