import { configurationStatus } from '../../core/configuration-sync';
import type { ConfigurationStatus } from '../../core/configuration-sync';
import type { MemberRecord } from '../../core/membership';
import type { InstanceStatus } from '../../core/operators';

/** Whether `left` was said after `right` about the same instance. */
function isLater(left: MemberRecord, right: MemberRecord): boolean {
  if (left.life !== right.life) return left.life > right.life;
  if (left.loadSequence !== right.loadSequence) return left.loadSequence > right.loadSequence;
  return left.sequence > right.sequence;
}

/** The version on each instance, from what one or several instances say of the fleet. */
export function compareVersions(statuses: readonly InstanceStatus[]): ConfigurationStatus {
  const latest = new Map<string, MemberRecord>();
  for (const member of statuses.flatMap((status) => status.members)) {
    const known = latest.get(member.instanceId);
    if (known === undefined || isLater(member, known)) latest.set(member.instanceId, member);
  }
  return configurationStatus([...latest.values()]);
}
