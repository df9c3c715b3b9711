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

const MOST_PARTNERS = DOMAIN_PARTNERS + REGION_PARTNERS + FLEET_PARTNERS;

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

function reachedFromFirst(fleet: readonly RingMember[]): number {
  const links = new Map<string, Set<string>>(fleet.map((member) => [member.instanceId, new Set()]));
  for (const member of fleet) {
    for (const partner of choosePartners(member, fleet)) {
      links.get(member.instanceId)?.add(partner.instanceId);
      links.get(partner.instanceId)?.add(member.instanceId);
    }
  }
  const reached = new Set<string>();
  const waiting = fleet.slice(0, 1).map((member) => member.instanceId);
  for (let next = waiting.pop(); next !== undefined; next = waiting.pop()) {
    if (!reached.has(next)) {
      reached.add(next);
      waiting.push(...(links.get(next) ?? []));
    }
  }
  return reached.size;
}

describe('choosing partners', () => {
  it('joins the whole fleet, however it is spread over regions and failure domains', () => {
    fc.assert(
      fc.property(anyFleet, (fleet) => {
        assert.equal(reachedFromFirst(fleet), fleet.length);
      }),
      { numRuns: 300, seed: 11 },
    );
  });

  it('gives nobody more partners as the fleet grows, and has every instance watched', () => {
    fc.assert(
      fc.property(anyFleet, (fleet) => {
        const watched = new Set<string>();
        for (const member of fleet) {
          const partners = choosePartners(member, fleet);
          assert.ok(partners.length <= MOST_PARTNERS);
          assert.ok(!partners.some((partner) => partner.instanceId === member.instanceId));
          partners.forEach((partner) => watched.add(partner.instanceId));
        }
        const lonelyRegions = new Set(fleet.map((member) => member.region)).size;
        // Only the region's and fleet's rings may pass someone over; the ring of its domain never does.
        const unwatched = fleet.filter((member) => !watched.has(member.instanceId));
        const domainSizes = unwatched.map(
          (member) => fleet.filter((other) => other.failureDomain === member.failureDomain).length,
        );
        assert.ok(lonelyRegions > 0 && domainSizes.every((size) => size === 1));
      }),
      { numRuns: 300, seed: 12 },
    );
  });
});
