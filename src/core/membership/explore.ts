import { pickIndex } from '../random';
import type { RandomSource } from '../random';
import type { MemberRecord } from './types';

/**
 * Whom to try beside the partners. Partners are chosen among those known to live, so after a network partition
 * each side would keep to itself for ever, and an instance that nobody has heard of would stay alone. One
 * looks for both: now and then an address outside the view, now and then a live member of another region.
 */
export interface ExploreInput {
  readonly self: MemberRecord;
  readonly others: readonly MemberRecord[];
  /** Seeds and addresses that the platform lists; either may be wrong. */
  readonly knownAddresses: readonly string[];
  /** Odd turns go to members, even turns outside. */
  readonly turn: number;
}

function pick<Item>(items: readonly Item[], random: RandomSource): Item | undefined {
  return items[pickIndex(random, items.length)];
}

/** Addresses at which nobody is known to live, the dead among them: a partition makes the living look dead. */
export function addressesOutside(input: Omit<ExploreInput, 'turn'>): readonly string[] {
  const { self, others, knownAddresses } = input;
  const living = new Set(
    others.filter((member) => member.status !== 'dead').map((member) => member.peerAddress),
  );
  living.add(self.peerAddress);
  const dead = others.filter((member) => member.status === 'dead');
  const addresses = new Set([...knownAddresses, ...dead.map((member) => member.peerAddress)]);
  return [...addresses].filter((address) => !living.has(address));
}

/** The address to try next; undefined when there is none. */
export function chooseExplored(input: ExploreInput, random: RandomSource): string | undefined {
  const { self, others, turn } = input;
  const outside = addressesOutside(input);
  const elsewhere = others.filter(
    (member) => member.status === 'alive' && member.region !== self.region,
  );
  const prefersMember = turn % 2 === 1 && elsewhere.length > 0;
  if (outside.length > 0 && !prefersMember) return pick(outside, random);
  return pick(elsewhere, random)?.peerAddress;
}
