import { pickIndex } from '../random';
import type { RandomSource } from '../random';
import type { MemberRecord } from './types';

/**
 * Input of {@link chooseAddressToExplore}, which chooses an address to contact in addition to the partners.
 *
 * Partners are chosen among instances known to be alive. Without exploration, the two sides of a network partition
 * would stay separate after it has healed, and an instance unknown to all others would stay alone. To find both,
 * exploration alternates between addresses not known to be alive and live members of other regions.
 */
export interface ExploreInput {
  readonly self: MemberRecord;
  readonly others: readonly MemberRecord[];
  /** Seeds and addresses that the platform lists; any of them may be wrong. */
  readonly knownAddresses: readonly string[];
  /** Odd turns prefer live members, even turns addresses not known to be alive. */
  readonly turn: number;
}

function pick<Item>(items: readonly Item[], random: RandomSource): Item | undefined {
  return items[pickIndex(random, items.length)];
}

/**
 * Returns the addresses at which no instance is known to be alive. Those of dead instances are included, since live
 * instances look dead across a network partition.
 */
export function addressesNotAlive(input: Omit<ExploreInput, 'turn'>): readonly string[] {
  const { self, others, knownAddresses } = input;
  const liveAddresses = new Set(
    others.filter((member) => member.status !== 'dead').map((member) => member.peerAddress),
  );
  liveAddresses.add(self.peerAddress);
  const dead = others.filter((member) => member.status === 'dead');
  const addresses = new Set([...knownAddresses, ...dead.map((member) => member.peerAddress)]);
  return [...addresses].filter((address) => !liveAddresses.has(address));
}

/** Returns the next address to contact; undefined if there is none. */
export function chooseAddressToExplore(
  input: ExploreInput,
  random: RandomSource,
): string | undefined {
  const { self, others, turn } = input;
  const notAlive = addressesNotAlive(input);
  const remoteMembers = others.filter(
    (member) => member.status === 'alive' && member.region !== self.region,
  );
  const prefersMember = turn % 2 === 1 && remoteMembers.length > 0;
  if (notAlive.length > 0 && !prefersMember) return pick(notAlive, random);
  return pick(remoteMembers, random)?.peerAddress;
}
