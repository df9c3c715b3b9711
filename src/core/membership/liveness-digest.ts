import { hashText } from '../hashing';
import type { MemberRecord } from './types';

/** Names a life of an instance in load statements. */
export function memberKey(record: MemberRecord): number {
  return hashText(`${record.instanceId}\n${record.life}\n${record.processToken}`);
}

/** Hash of one liveness; the dead count as absent, since everyone forgets them at another time. */
export function livenessDigest(record: MemberRecord): number {
  if (record.status === 'dead') return 0;
  const { instanceId, life, processToken, sequence, status } = record;
  return hashText(`${instanceId}\n${life}\n${processToken}\n${sequence}\n${status}`);
}
