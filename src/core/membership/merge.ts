import type { LoadState, MemberRecord, MemberStatus } from './types';

/**
 * Merging of two records of one instance. Records arrive in any order, repeatedly and over several paths. Unless every
 * order gives the same result, two instances that received the same records could disagree for ever, and one would
 * keep sending work to an instance that the other knows to be dead.
 *
 * The record of the later life wins entirely. Within a life, liveness and load are merged separately, each by a total
 * order, so the result is the least upper bound of a lexicographic product: commutative, associative and idempotent.
 */

/** At equal sequences the more severe status wins; a life declared dead stays dead. */
const SEVERITY: Readonly<Record<MemberStatus, number>> = {
  alive: 0,
  leaving: 1,
  suspect: 2,
  dead: 3,
};

type Liveness = Pick<
  MemberRecord,
  | 'instanceId'
  | 'incarnation'
  | 'life'
  | 'sequence'
  | 'region'
  | 'failureDomain'
  | 'callerAddress'
  | 'peerAddress'
  | 'status'
  | 'processToken'
>;

function livenessOf(record: MemberRecord): Liveness {
  const { instanceId, incarnation, life, sequence, region, failureDomain } = record;
  const { callerAddress, peerAddress, status, processToken } = record;
  return {
    instanceId,
    incarnation,
    life,
    sequence,
    region,
    failureDomain,
    callerAddress,
    peerAddress,
    status,
    processToken,
  };
}

function loadOf(record: LoadState): LoadState {
  const { loadSequence, inFlightRequests, configurationVersion, configurationDigest } = record;
  const { configurationSinceUnixMs, configurationConfirmed, watching } = record;
  const { openRequestsByService } = record;
  return {
    loadSequence,
    inFlightRequests,
    configurationVersion,
    configurationDigest,
    configurationSinceUnixMs,
    configurationConfirmed,
    watching,
    ...(openRequestsByService === undefined ? {} : { openRequestsByService }),
  };
}

/**
 * Orders equal loads by whether they state the open requests per service: an instance of an older release forwards the
 * load without them, and the statement that has them must win at every instance that receives both.
 */
function compareDetail(left: LoadState, right: LoadState): number {
  return (
    Number(left.openRequestsByService !== undefined) -
    Number(right.openRequestsByService !== undefined)
  );
}

/** Orders different records with equal sequences, which a correct instance never sends; any fixed order would do. */
function compareContent(left: object, right: object): number {
  const leftText = JSON.stringify(left);
  const rightText = JSON.stringify(right);
  if (leftText === rightText) return 0;
  return leftText < rightText ? -1 : 1;
}

function compareLives(left: MemberRecord, right: MemberRecord): number {
  return left.life - right.life || left.processToken - right.processToken;
}

function compareLiveness(left: MemberRecord, right: MemberRecord): number {
  const deadLeft = left.status === 'dead' ? 1 : 0;
  const deadRight = right.status === 'dead' ? 1 : 0;
  return (
    deadLeft - deadRight ||
    left.sequence - right.sequence ||
    SEVERITY[left.status] - SEVERITY[right.status] ||
    compareContent(livenessOf(left), livenessOf(right))
  );
}

/** Compares two loads of one life; the result is negative if `right` is the later one. */
export function compareLoads(left: LoadState, right: LoadState): number {
  return (
    left.loadSequence - right.loadSequence ||
    compareDetail(left, right) ||
    compareContent(loadOf(left), loadOf(right))
  );
}

/** Returns the record with its load replaced; a list that `load` does not state is not kept from the record. */
export function withLoad(record: MemberRecord, load: LoadState): MemberRecord {
  return { ...livenessOf(record), ...loadOf(load) };
}

/** Merges two records of one instance. */
export function mergeRecords(left: MemberRecord, right: MemberRecord): MemberRecord {
  const lives = compareLives(left, right);
  if (lives !== 0) return lives > 0 ? left : right;
  const liveness = compareLiveness(left, right) >= 0 ? left : right;
  const load = compareLoads(left, right) >= 0 ? left : right;
  return liveness === load ? liveness : withLoad(liveness, load);
}

/** Returns whether two records agree on the instance's liveness. */
export function sameLiveness(left: MemberRecord, right: MemberRecord): boolean {
  return compareLives(left, right) === 0 && compareLiveness(left, right) === 0;
}
