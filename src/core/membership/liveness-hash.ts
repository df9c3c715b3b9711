import { hashText } from '../hashing';
import type { MemberRecord } from './types';

/** Returns the hash that identifies a member and its current life in load statements. */
export function memberKey(record: MemberRecord): number {
  return hashText(`${record.instanceId}\n${record.life}\n${record.processToken}`);
}

/** Returns a hash of a member's liveness; 0 for a dead one, since instances forget dead members at different times. */
export function livenessHash(record: MemberRecord): number {
  if (record.status === 'dead') return 0;
  const { instanceId, life, processToken, sequence, status } = record;
  return hashText(`${instanceId}\n${life}\n${processToken}\n${sequence}\n${status}`);
}
