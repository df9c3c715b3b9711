import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { BOUNDS, checkFigure } from './bounds';
import { SCENARIOS } from './scenarios';

describe('load scenarios stay within their bounds', () => {
  const measured = new Set<string>();

  for (const { name, run } of SCENARIOS) {
    it(name, () => {
      const { figures } = run();
      for (const figure of figures) {
        measured.add(figure.name);
        const { holds, bound } = checkFigure(figure);
        assert.ok(
          holds,
          `${figure.name} is ${figure.measured.toFixed(3)}; bound: ${bound.kind} ${bound.limit}`,
        );
      }
    });
  }

  it('every bound has its figure', () => {
    assert.deepEqual([...measured].sort(), Object.keys(BOUNDS).sort());
  });
});
