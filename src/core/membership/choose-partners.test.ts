import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import {
  DOMAIN_PARTNERS,
  FLEET_PARTNERS,
  REGION_PARTNERS,
  choosePartners,
} from './choose-partners';
import type { RingMember } from './choose-partners';

const MAX_PARTNERS = DOMAIN_PARTNERS + REGION_PARTNERS + FLEET_PARTNERS;

const anyFleet: fc.Arbitrary<RingMember[]> = fc
  .array(fc.record({ region: fc.nat({ max: 4 }), domain: fc.nat({ max: 3 }) }), {
    minLength: 2,
    maxLength: 60,
  })
  .map((places) =>
    places.map(({ region, domain }, index) => ({
      instanceId: `instance-${index}`,
      region: `region-${region}`,
      failureDomain: `region-${region}-${domain}`,
    })),
  );

function countReachableFromFirst(fleet: readonly RingMember[]): number {
  const links = new Map<string, Set<string>>(fleet.map((member) => [member.instanceId, new Set()]));
  for (const member of fleet) {
    for (const partner of choosePartners(member, fleet)) {
      links.get(member.instanceId)?.add(partner.instanceId);
      links.get(partner.instanceId)?.add(member.instanceId);
    }
  }
  const reached = new Set<string>();
  const pending = fleet.slice(0, 1).map((member) => member.instanceId);
  for (let next = pending.pop(); next !== undefined; next = pending.pop()) {
    if (!reached.has(next)) {
      reached.add(next);
      pending.push(...(links.get(next) ?? []));
    }
  }
  return reached.size;
}

describe('choosing partners', () => {
  it('connects the whole fleet for any distribution over regions and failure domains', () => {
    fc.assert(
      fc.property(anyFleet, (fleet) => {
        assert.equal(countReachableFromFirst(fleet), fleet.length);
      }),
      { numRuns: 300, seed: 11 },
    );
  });

  it('bounds the number of partners and leaves none unwatched that shares a failure domain with another', () => {
    fc.assert(
      fc.property(anyFleet, (fleet) => {
        const watched = new Set<string>();
        for (const member of fleet) {
          const partners = choosePartners(member, fleet);
          assert.ok(partners.length <= MAX_PARTNERS);
          assert.ok(!partners.some((partner) => partner.instanceId === member.instanceId));
          partners.forEach((partner) => watched.add(partner.instanceId));
        }
        const regionCount = new Set(fleet.map((member) => member.region)).size;
        // The rings of a region and of the fleet may skip an instance; the ring of its failure domain never does.
        const unwatched = fleet.filter((member) => !watched.has(member.instanceId));
        const domainSizes = unwatched.map(
          (member) => fleet.filter((other) => other.failureDomain === member.failureDomain).length,
        );
        assert.ok(regionCount > 0 && domainSizes.every((size) => size === 1));
      }),
      { numRuns: 300, seed: 12 },
    );
  });
});
