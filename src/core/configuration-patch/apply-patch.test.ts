import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { describe, it } from 'node:test';
import type { Operation } from 'fast-json-patch';
import { applyConfigurationPatch, diffConfigurations } from './apply-patch';

const SAMPLE = JSON.parse(readFileSync('samples/omaruru/configuration.json', 'utf8')) as {
  version: number;
};

const RAISE_LIMIT: Operation[] = [
  { op: 'replace', path: '/callers/0/limits/requestsPerSecond', value: 80 },
];

interface Case {
  readonly name: string;
  readonly base: number;
  readonly operations: Operation[];
  readonly kind: string;
}

const CASES: readonly Case[] = [
  {
    name: 'numbers the result as the next version',
    base: 1,
    operations: RAISE_LIMIT,
    kind: 'patched',
  },
  // Two operators start from one version; without this the second would undo the first unseen.
  {
    name: 'refuses a base that is not the latest',
    base: 0,
    operations: RAISE_LIMIT,
    kind: 'staleBase',
  },
  {
    name: 'refuses a path that is not there',
    base: 1,
    operations: [{ op: 'remove', path: '/callers/99' }],
    kind: 'notApplicable',
  },
  {
    name: 'refuses a failed test operation',
    base: 1,
    operations: [{ op: 'test', path: '/deployment', value: 'hooghly' }, ...RAISE_LIMIT],
    kind: 'notApplicable',
  },
  {
    name: 'refuses a result that breaks the schema',
    base: 1,
    operations: [{ op: 'replace', path: '/callers/0/regions/0', value: 'atlantis' }],
    kind: 'invalid',
  },
];

describe('a patch against a numbered version', () => {
  for (const { name, base, operations, kind } of CASES) {
    it(name, () => {
      const result = applyConfigurationPatch(SAMPLE, base, operations);
      assert.equal(result.kind, kind);
      if (result.kind === 'patched') assert.equal(result.version, 2);
    });
  }

  it('leaves the document that it was given as it was', () => {
    const before = JSON.stringify(SAMPLE);
    applyConfigurationPatch(SAMPLE, 1, RAISE_LIMIT);
    assert.equal(JSON.stringify(SAMPLE), before);
  });

  it('can be had back as the difference of the two versions', () => {
    const result = applyConfigurationPatch(SAMPLE, 1, RAISE_LIMIT);
    assert.ok(result.kind === 'patched');
    assert.deepEqual(diffConfigurations(SAMPLE, result.document), RAISE_LIMIT);
  });
});
