import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { fitLine, valueAt } from './slope';

describe('a line through measured points', () => {
  it('goes through points that lie on one', () => {
    const line = fitLine([8, 32, 100].map((x) => ({ x, y: 5 + 2 * x })));
    assert.ok(Math.abs(line.slope - 2) < 1e-9);
    assert.ok(Math.abs(valueAt(line, 340) - 685) < 1e-6);
    assert.ok(Math.abs(line.fit - 1) < 1e-9);
  });

  it('says when points lie far from any line', () => {
    const line = fitLine([
      { x: 1, y: 10 },
      { x: 2, y: 0 },
      { x: 3, y: 10 },
    ]);
    assert.ok(line.fit < 0.1);
  });

  it('is flat, with a full fit, where size costs nothing', () => {
    assert.deepEqual(
      fitLine([
        { x: 1, y: 7 },
        { x: 9, y: 7 },
      ]),
      { slope: 0, intercept: 7, fit: 1 },
    );
  });

  it('asks for two different sizes', () => {
    assert.throws(() =>
      fitLine([
        { x: 3, y: 1 },
        { x: 3, y: 2 },
      ]),
    );
  });
});
