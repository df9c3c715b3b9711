import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import type { GossipEntry } from '../gossip';
import { readExchange, writeExchange } from './exchange-text';
import type { ExchangeMessage } from './messages';
import { START_CURSORS } from './messages';
import type { LoadStatement, MemberRecord } from './types';

const count = fc.nat();
const RUNS = { numRuns: 300, seed: 11 };

const anyMember: fc.Arbitrary<MemberRecord> = fc.record(
  {
    instanceId: fc.string({ minLength: 1 }),
    region: fc.string(),
    failureDomain: fc.string(),
    callerAddress: fc.string(),
    peerAddress: fc.string(),
    status: fc.constantFrom('alive', 'suspect', 'leaving', 'dead'),
    incarnation: count,
    life: count,
    sequence: count,
    processToken: count,
    loadSequence: count,
    inFlightRequests: count,
    configurationVersion: count,
    configurationDigest: count,
    configurationSinceUnixMs: count,
    configurationConfirmed: fc.boolean(),
    watching: fc.boolean(),
  },
  { noNullPrototype: true },
);

const anyLoad: fc.Arbitrary<LoadStatement> = fc.record(
  {
    memberKey: count,
    wide: fc.boolean(),
    loadSequence: count,
    inFlightRequests: count,
    configurationVersion: count,
    configurationDigest: count,
    configurationSinceUnixMs: count,
    configurationConfirmed: fc.boolean(),
    watching: fc.boolean(),
  },
  { noNullPrototype: true },
);

const anyStatement: fc.Arbitrary<GossipEntry> = fc.record(
  {
    topic: fc.constantFrom('callerShares', 'poisonFingerprints', 'serverMarks'),
    key: fc.string(),
    origin: fc.string(),
    version: count,
    regions: fc.option(fc.array(fc.string()), { nil: undefined }),
    expiresAtUnixMs: count,
    payload: fc.string(),
  },
  { noNullPrototype: true },
);

const anyCursors = fc.record(
  { members: count, loads: count, statements: count },
  { noNullPrototype: true },
);

const anyMessage: fc.Arbitrary<ExchangeMessage> = fc.record(
  {
    from: anyMember,
    haveOfProcess: count,
    have: anyCursors,
    upTo: anyCursors,
    viewDigest: count,
    members: fc.array(anyMember),
    loads: fc.array(anyLoad),
    statements: fc.array(anyStatement),
    knownLiveness: fc.array(count),
    moreMembers: fc.boolean(),
  },
  { noNullPrototype: true },
);

const MEMBER: MemberRecord = {
  instanceId: 'windhoek-a-1',
  region: 'windhoek',
  failureDomain: 'windhoek-a',
  callerAddress: '10.0.0.1:8080',
  peerAddress: '10.0.0.1:7400',
  status: 'alive',
  incarnation: 1,
  life: 1,
  sequence: 1,
  processToken: 7,
  loadSequence: 1,
  inFlightRequests: 3,
  configurationVersion: 1,
  configurationDigest: 0,
  configurationSinceUnixMs: 0,
  configurationConfirmed: true,
  watching: true,
};

const MESSAGE: ExchangeMessage = {
  from: MEMBER,
  haveOfProcess: 0,
  have: START_CURSORS,
  upTo: START_CURSORS,
  viewDigest: 5,
  members: [],
  loads: [],
  statements: [],
  knownLiveness: [],
  moreMembers: false,
};

/** Returns the message as text with some of its fields replaced. */
function changed(fields: object): string {
  return JSON.stringify({ ...(JSON.parse(writeExchange(MESSAGE)) as object), ...fields });
}

describe('a membership message as text', () => {
  it('survives encoding and decoding unchanged', () => {
    fc.assert(
      fc.property(anyMessage, (message) => {
        assert.deepEqual(readExchange(writeExchange(message)), message);
      }),
      RUNS,
    );
  });

  // A newer release may send topics that this one does not know. Rejecting the whole message would split the fleet in
  // two during an upgrade.
  it('skips statements on unknown topics', () => {
    const text = changed({ statements: [['newTopic', 'key', 'a-1', 1, null, 1, '{}']] });
    assert.deepEqual(readExchange(text).statements, []);
  });

  const DAMAGED: { name: string; text: string }[] = [
    { name: 'invalid JSON', text: '{' },
    { name: 'a sender without an id', text: changed({ from: ['', 'north'] }) },
    { name: 'no sender', text: changed({ from: undefined }) },
    {
      name: 'an unknown status',
      text: changed({ members: [['a', 'b', 'c', 'd', 'e', 'x']] }),
    },
    { name: 'cursors of another type', text: changed({ have: ['1', 0, 0] }) },
  ];
  for (const { name, text } of DAMAGED) {
    it(`is rejected with ${name}`, () => {
      assert.throws(() => readExchange(text));
    });
  }
});
