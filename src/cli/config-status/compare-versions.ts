import type { MemberState } from '../../core/membership';
import type { InstanceStatus } from '../../core/operators';

/** One instance and the version in force there. */
export interface VersionRow {
  readonly instanceId: string;
  readonly region: string;
  readonly status: MemberState['status'];
  readonly version: number;
  /** Whether a higher version is in force elsewhere. */
  readonly lags: boolean;
}

function latestStates(statuses: readonly InstanceStatus[]): MemberState[] {
  const latest = new Map<string, MemberState>();
  for (const member of statuses.flatMap((status) => status.members)) {
    const known = latest.get(member.instanceId);
    const isLater =
      known === undefined ||
      member.incarnation > known.incarnation ||
      (member.incarnation === known.incarnation && member.sequence > known.sequence);
    if (isLater) latest.set(member.instanceId, member);
  }
  return [...latest.values()];
}

/** The version of each instance, from what one or several instances say of the fleet. */
export function compareVersions(statuses: readonly InstanceStatus[]): VersionRow[] {
  const members = latestStates(statuses).filter((member) => member.status !== 'dead');
  const highest = Math.max(0, ...members.map((member) => member.configurationVersion));
  return members
    .map((member) => ({
      instanceId: member.instanceId,
      region: member.region,
      status: member.status,
      version: member.configurationVersion,
      lags: member.configurationVersion < highest,
    }))
    .sort((left, right) => (left.instanceId < right.instanceId ? -1 : 1));
}
