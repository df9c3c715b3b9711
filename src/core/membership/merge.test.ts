import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { mergeRecords, sameLiveness } from './merge';
import type { MemberRecord } from './types';

/** Small ranges, so that ties and inversions of every kind occur. */
const anyRecord: fc.Arbitrary<MemberRecord> = fc.record(
  {
    instanceId: fc.constant('windhoek-a-1'),
    incarnation: fc.constant(1),
    life: fc.integer({ min: 1, max: 3 }),
    sequence: fc.integer({ min: 0, max: 3 }),
    region: fc.constant('windhoek'),
    failureDomain: fc.constantFrom('windhoek-a', 'windhoek-b'),
    callerAddress: fc.constantFrom('10.0.0.1:8080', '10.0.0.2:8080'),
    peerAddress: fc.constant('10.0.0.1:7400'),
    status: fc.constantFrom('alive', 'suspect', 'leaving', 'dead'),
    processToken: fc.integer({ min: 1, max: 2 }),
    loadSequence: fc.integer({ min: 0, max: 3 }),
    inFlightRequests: fc.integer({ min: 0, max: 2 }),
    configurationVersion: fc.integer({ min: 0, max: 2 }),
    configurationDigest: fc.integer({ min: 0, max: 1 }),
    configurationSinceUnixMs: fc.constant(0),
    configurationConfirmed: fc.boolean(),
    watching: fc.boolean(),
    openRequestsByService: fc.option(
      fc.constantFrom([['chat', 1] as const], [['chat', 2] as const]),
      { nil: undefined },
    ),
  },
  { noNullPrototype: true },
);

const RUNS = { numRuns: 2_000, seed: 7 };

interface Law {
  readonly name: string;
  check(left: MemberRecord, right: MemberRecord, third: MemberRecord): void;
}

const LAWS: readonly Law[] = [
  {
    name: 'commutative',
    check(left, right) {
      assert.deepEqual(mergeRecords(left, right), mergeRecords(right, left));
    },
  },
  {
    name: 'associative',
    check(left, right, third) {
      assert.deepEqual(
        mergeRecords(mergeRecords(left, right), third),
        mergeRecords(left, mergeRecords(right, third)),
      );
    },
  },
  {
    name: 'idempotent',
    check(left, right) {
      const merged = mergeRecords(left, right);
      assert.deepEqual(mergeRecords(merged, left), merged);
      assert.deepEqual(mergeRecords(merged, merged), merged);
    },
  },
];

describe('merging records of one instance', () => {
  for (const { name, check } of LAWS) {
    it(`is ${name}`, () => {
      fc.assert(fc.property(anyRecord, anyRecord, anyRecord, check), RUNS);
    });
  }

  const base: MemberRecord = {
    instanceId: 'windhoek-a-1',
    incarnation: 5,
    life: 5,
    sequence: 2,
    region: 'windhoek',
    failureDomain: 'windhoek-a',
    callerAddress: '10.0.0.1:8080',
    peerAddress: '10.0.0.1:7400',
    status: 'alive',
    processToken: 9,
    loadSequence: 1,
    inFlightRequests: 3,
    configurationVersion: 1,
    configurationDigest: 0,
    configurationSinceUnixMs: 0,
    configurationConfirmed: true,
    watching: false,
  };

  const CASES: { name: string; other: Partial<MemberRecord>; wins: boolean }[] = [
    { name: 'a suspicion at the same sequence', other: { status: 'suspect' }, wins: true },
    {
      name: 'a suspicion at an earlier sequence',
      other: { status: 'suspect', sequence: 1 },
      wins: false,
    },
    { name: 'a refutation, which has a later sequence', other: { sequence: 3 }, wins: true },
    {
      name: 'a death in the same life, even at an earlier sequence',
      other: { status: 'dead', sequence: 0 },
      wins: true,
    },
    {
      name: 'the death of an earlier life',
      other: { status: 'dead', life: 4 },
      wins: false,
    },
    { name: 'a later life', other: { life: 6, sequence: 0 }, wins: true },
  ];
  for (const { name, other, wins } of CASES) {
    it(`${wins ? 'accepts' : 'ignores'} ${name}`, () => {
      const merged = mergeRecords(base, { ...base, ...other });
      assert.equal(sameLiveness(merged, base), !wins);
    });
  }

  // An instance of an older release forwards a load without the list. Whichever copy arrives first must not decide.
  it('prefers the copy of a load that states the open requests per service', () => {
    const detailed: MemberRecord = { ...base, openRequestsByService: [['chat', 3]] };
    assert.deepEqual(mergeRecords(base, detailed), detailed);
    assert.deepEqual(mergeRecords(detailed, base), detailed);
  });

  it('does not keep the list of an older load', () => {
    const detailed: MemberRecord = { ...base, sequence: 9, openRequestsByService: [['chat', 3]] };
    const newer = { ...base, loadSequence: 8, inFlightRequests: 40 };
    assert.equal(mergeRecords(detailed, newer).openRequestsByService, undefined);
  });

  it('keeps the newer load when the liveness is older', () => {
    const busier = { ...base, sequence: 1, loadSequence: 8, inFlightRequests: 40 };
    assert.deepEqual(mergeRecords(base, busier), {
      ...base,
      loadSequence: 8,
      inFlightRequests: 40,
    });
  });
});
