import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { describe, it } from 'node:test';
import type { Measured } from './measured';
import { toMarkdown, workOutCapacity } from './work-out';

const membership = [8, 32, 100, 340].map((instances) => ({
  instances,
  bytesPerSecond: 1_000 + instances,
  exchangesPerSecond: 2,
  corePercent: 0.1,
  deadMs: 7_000,
}));

const MEASURED: Measured = {
  fleet: {
    membership,
    spread: membership.map(({ instances, bytesPerSecond }) => ({
      instances,
      fromOneInstanceMs: 200,
      readsPerSecond: 30,
      bytesPerSecond: bytesPerSecond + 500,
      restartPeakReadsPerSecond: 1_000,
    })),
    changeCost: [{ form: 'sections and changes', bytesPerChange: 4_000, corePercent: 0.4 }],
    targetSize: { heapBytes: 16 * 2 ** 20 },
    grpc: { direct: { exchangesPerSecond: 1, corePercent: 0.2 } },
  },
  callerLimits: [{ instances: 340, bytesPerSecond: 2_000, microsecondsPerDecision: 4 }],
  serverHealth: [{ servers: 363, checksPerServerPerS: 2, drainSpreadMs: 800 }],
  edge: () => 100,
};

describe('what a node costs at the target', () => {
  const rows = workOutCapacity(MEASURED);
  const valueOf = (role: string) => rows.find((row) => row.role === role)?.value ?? NaN;

  it('sums control against its limits', () => {
    assert.ok(Math.abs(valueOf('all control: bytes/s') - (1_340 + 500 + 2_000)) < 1e-6);
    // 2 exchanges/s at 0.2% each, 0.4% for changes, 17.06 checks/s of 100 µs.
    const checks = (2 * 2_900) / 340;
    assert.ok(Math.abs(valueOf('all control: % of a core') - (0.4 + 0.4 + checks * 0.01)) < 1e-6);
    assert.equal(valueOf('all control: MiB'), 16);
  });

  it('says by how much a sum misses its limit', () => {
    assert.match(toMarkdown(rows), /all control: bytes\/s .* misses by 25% \|/);
  });

  it('has each of its rows on the page, and the page no other', () => {
    const page = readFileSync('docs/CAPACITY.md', 'utf8');
    const table = page.slice(page.indexOf('| role |'), page.indexOf('## What misses'));
    const roles = table
      .split('\n')
      .filter((line) => line.startsWith('| '))
      .map((line) => line.split(' | ')[0]?.slice(2));
    assert.deepEqual(roles, ['role', '---', ...rows.map((row) => row.role)]);
  });
});
