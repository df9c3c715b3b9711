import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { MemberState, MemberStatus } from '../membership';
import { chooseEntry } from './choose-entry';

const CALLERS = 2_000;

interface MemberProperties {
  readonly region: string;
  readonly domain: string;
  readonly index: number;
  readonly status?: MemberStatus;
  readonly inFlightRequests?: number;
}

const member = (properties: MemberProperties): MemberState => ({
  instanceId: `${properties.region}-${properties.domain}-${properties.index}`,
  incarnation: 1,
  sequence: 1,
  region: properties.region,
  failureDomain: `${properties.region}-${properties.domain}`,
  callerAddress: '',
  peerAddress: '',
  status: properties.status ?? 'alive',
  configurationVersion: 1,
  inFlightRequests: properties.inFlightRequests ?? 0,
});

const REGIONS = ['windhoek', 'rundu'];
const fleet = REGIONS.flatMap((region) =>
  ['a', 'b', 'c'].flatMap((domain) => [1, 2].map((index) => member({ region, domain, index }))),
);

const entryOf = (members: readonly MemberState[], caller: number) =>
  chooseEntry({ members, regions: REGIONS, homeRegion: 'rundu', key: `caller-${caller}` })?.entry
    .instanceId;

function entriesOf(members: readonly MemberState[]): (string | undefined)[] {
  return Array.from({ length: CALLERS }, (_unused, caller) => entryOf(members, caller));
}

function countBy(names: readonly (string | undefined)[]): Map<string, number> {
  const counts = new Map<string, number>();
  for (const name of names) counts.set(name ?? '', (counts.get(name ?? '') ?? 0) + 1);
  return counts;
}

const movedShare = (before: readonly unknown[], after: readonly unknown[]) =>
  before.filter((name, caller) => name !== after[caller]).length / before.length;

describe('the choice of an entry', () => {
  it('spreads callers evenly over the instances of their home region', () => {
    const counts = countBy(entriesOf(fleet));
    assert.equal(counts.size, 6);
    const fairShare = CALLERS / 6;
    for (const [name, count] of counts) {
      assert.match(name, /^rundu-/);
      assert.ok(Math.abs(count / fairShare - 1) < 0.2, `${name} has ${count}`);
    }
  });

  it('is the same on every instance, whatever the order of its member list', () => {
    assert.deepEqual(entriesOf([...fleet].reverse()), entriesOf(fleet));
  });

  // A rack loses power. If its callers all moved to the least loaded remaining instance, that one would be
  // overloaded next; if all callers were reassigned, every instance would serve prefixes that it does not have
  // cached.
  it('moves only the callers of a failed failure domain, and spreads them over all remaining instances', () => {
    const before = entriesOf(fleet);
    const remaining = fleet.filter((one) => one.failureDomain !== 'rundu-b');
    const after = entriesOf(remaining);
    const stayed = before.filter((name) => !name?.startsWith('rundu-b'));
    const lost = before.length - stayed.length;
    assert.equal(movedShare(before, after), lost / before.length);
    const movedCallers = countBy(after.filter((name, caller) => name !== before[caller]));
    assert.equal(movedCallers.size, 4);
    for (const count of movedCallers.values()) assert.ok(count < lost / 2.5, `${count} of ${lost}`);
  });

  // A batch of one caller keeps an instance busy. Other callers hashed to it wait behind work that other
  // instances could share.
  it('moves callers away from an instance with far more than its share of load, and moves no others', () => {
    const busy = (inFlightRequests: number) =>
      fleet.map((one) => ({
        ...one,
        inFlightRequests: one.instanceId === 'rundu-a-1' ? inFlightRequests : 20,
      }));
    const before = entriesOf(busy(20));
    const after = entriesOf(busy(200));
    const moved = before.filter((name, caller) => name !== after[caller]);
    assert.ok(moved.every((name) => name === 'rundu-a-1'));
    const share = (countBy(after).get('rundu-a-1') ?? 0) / (countBy(before).get('rundu-a-1') ?? 1);
    assert.ok(share > 0.2 && share < 0.55, `keeps ${share}`);
  });

  it('moves no callers because of insignificant differences in load', () => {
    const uneven = fleet.map((one, index) => ({ ...one, inFlightRequests: 20 + (index % 5) * 3 }));
    assert.equal(movedShare(entriesOf(fleet), entriesOf(uneven)), 0);
  });

  const cases: readonly { readonly status: MemberStatus; readonly isNamed: boolean }[] = [
    { status: 'alive', isNamed: true },
    { status: 'suspect', isNamed: false },
    { status: 'leaving', isNamed: false },
    { status: 'dead', isNamed: false },
  ];
  for (const { status, isNamed } of cases) {
    it(`${isNamed ? 'names' : 'does not name'} an instance that is ${status}`, () => {
      const members = fleet.map((one) =>
        one.instanceId === 'rundu-a-1' ? { ...one, status } : one,
      );
      assert.equal(entriesOf(members).includes('rundu-a-1'), isNamed);
    });
  }

  it('names a suspected instance when no live one remains, but never one that is leaving', () => {
    const only = (status: MemberStatus) =>
      entryOf([member({ region: 'rundu', domain: 'a', index: 1, status })], 1);
    assert.equal(only('suspect'), 'rundu-a-1');
    assert.equal(only('leaving'), undefined);
  });

  it('names only instances of allowed regions, and fallbacks in other failure domains', () => {
    const choice = chooseEntry({
      members: fleet,
      regions: ['windhoek'],
      homeRegion: 'rundu',
      key: 'caller-1',
    });
    assert.equal(choice?.entry.region, 'windhoek');
    assert.equal(choice?.fallbacks.length, 2);
    for (const fallback of choice?.fallbacks ?? []) {
      assert.equal(fallback.region, 'windhoek');
      assert.notEqual(fallback.failureDomain, choice?.entry.failureDomain);
    }
  });
});
