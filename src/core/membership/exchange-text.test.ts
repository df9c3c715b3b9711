import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { z } from 'zod';
import type { GossipEntry } from '../gossip';
import { readExchange, writeExchange } from './exchange-text';
import type { ExchangeMessage } from './messages';
import { START_CURSORS } from './messages';
import { createRowCodec } from './row-codec';
import type { LoadStatement, MemberRecord } from './types';

const count = fc.nat();
const RUNS = { numRuns: 300, seed: 11 };

const openRequestsByService = fc.array(fc.tuple(fc.string(), count));

/** Required fields that members and loads share. */
const CHANGING_KEYS = [
  'loadSequence',
  'inFlightRequests',
  'configurationVersion',
  'configurationDigest',
  'configurationSinceUnixMs',
  'configurationConfirmed',
  'watching',
] as const;

const LOAD_KEYS = ['memberKey', 'wide', ...CHANGING_KEYS] as const;

const MEMBER_KEYS = [
  'instanceId',
  'region',
  'failureDomain',
  'callerAddress',
  'peerAddress',
  'status',
  'incarnation',
  'life',
  'sequence',
  'processToken',
  ...CHANGING_KEYS,
] as const;

const anyChangingFields = {
  loadSequence: count,
  inFlightRequests: count,
  configurationVersion: count,
  configurationDigest: count,
  configurationSinceUnixMs: count,
  configurationConfirmed: fc.boolean(),
  watching: fc.boolean(),
  openRequestsByService,
};

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
    ...anyChangingFields,
  },
  { noNullPrototype: true, requiredKeys: [...MEMBER_KEYS] },
);

const anyLoad: fc.Arbitrary<LoadStatement> = fc.record(
  {
    memberKey: count,
    wide: fc.boolean(),
    ...anyChangingFields,
  },
  { noNullPrototype: true, requiredKeys: [...LOAD_KEYS] },
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

function writtenRow(from: MemberRecord): unknown {
  return (JSON.parse(writeExchange({ ...MESSAGE, from })) as { from: unknown }).from;
}

/** Returns the fields of the rows of a release without open requests per service; their types do not matter here. */
function olderFields<Key extends string>(keys: readonly Key[]) {
  return Object.fromEntries(keys.map((key) => [key, z.unknown()])) as Record<Key, z.ZodUnknown>;
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

  // During an upgrade, both releases run. If either rejected the other's rows, the fleet would split in two.
  describe('between two releases', () => {
    const busy: MemberRecord = { ...MEMBER, openRequestsByService: [['chat', 3]] };
    const olderMembers = createRowCodec(z.object(olderFields(MEMBER_KEYS)));
    const olderLoads = createRowCodec(z.object(olderFields(LOAD_KEYS)));
    const load: LoadStatement = {
      memberKey: 5,
      wide: true,
      loadSequence: 2,
      inFlightRequests: 3,
      configurationVersion: 1,
      configurationDigest: 0,
      configurationSinceUnixMs: 0,
      configurationConfirmed: true,
      watching: true,
    };
    const parts = z.object({
      from: z.array(z.unknown()),
      loads: z.array(z.array(z.unknown())),
    });

    it('lets the older one read rows with open requests per service', () => {
      const loads = [{ ...load, openRequestsByService: [['chat', 3]] as const }];
      const written = parts.parse(
        JSON.parse(writeExchange({ ...MESSAGE, from: busy, loads })) as unknown,
      );
      assert.deepEqual(olderMembers.read(written.from), MEMBER);
      assert.deepEqual(written.loads.map(olderLoads.read), [load]);
    });

    it('lets this one read rows without them', () => {
      const text = changed({
        from: olderMembers.write(MEMBER),
        members: [olderMembers.write(MEMBER)],
        loads: [olderLoads.write(load)],
      });
      const { from, members, loads } = readExchange(text);
      assert.deepEqual([from, members, loads], [MEMBER, [MEMBER], [load]]);
    });

    it('forwards a record without them exactly as the older one wrote it', () => {
      const { from } = parts.partial().parse(JSON.parse(writeExchange(MESSAGE)) as unknown);
      assert.deepEqual(from, olderMembers.write(MEMBER));
    });
  });

  const DAMAGED: { name: string; text: string }[] = [
    { name: 'invalid JSON', text: '{' },
    { name: 'a sender without an id', text: changed({ from: ['', 'north'] }) },
    { name: 'no sender', text: changed({ from: undefined }) },
    {
      name: 'an unknown status',
      text: changed({ members: [['a', 'b', 'c', 'd', 'e', 'x']] }),
    },
    {
      name: 'open requests that are not pairs of a service and a count',
      text: changed({ from: writtenRow({ ...MEMBER, openRequestsByService: [['chat', -1]] }) }),
    },
    { name: 'cursors of another type', text: changed({ have: ['1', 0, 0] }) },
  ];
  for (const { name, text } of DAMAGED) {
    it(`is rejected with ${name}`, () => {
      assert.throws(() => readExchange(text));
    });
  }
});
