import type { MemberRecord } from '../membership';

/** Which version an instance has in force, for operators. */
export interface InstanceConfiguration {
  readonly instanceId: string;
  readonly region: string;
  readonly failureDomain: string;
  readonly status: MemberRecord['status'];
  readonly version: number;
  /** Since when, by that machine's clock; 0 when it has none. */
  readonly sinceUnixMs: number;
  /** Whether an instance that was there before vouched for it. */
  readonly confirmed: boolean;
  readonly watching: boolean;
  /** Versions that it is behind the highest known; some lag by what news needs to come round. */
  readonly behindVersions: number;
}

/** How the configuration stands in the fleet, as far as one instance knows. */
export interface ConfigurationStatus {
  readonly highestVersion: number;
  readonly instances: readonly InstanceConfiguration[];
  /** Instances that are not at the highest version, the farthest behind first. */
  readonly lagging: readonly string[];
  /** Instances whose content of the highest version differs from the one most have: one number, two contents. */
  readonly conflicting: readonly string[];
}

function conflictingIds(atHighest: readonly MemberRecord[]): readonly string[] {
  const counts = new Map<number, number>();
  for (const { configurationDigest } of atHighest) {
    counts.set(configurationDigest, (counts.get(configurationDigest) ?? 0) + 1);
  }
  const [common] = [...counts].sort((left, right) => right[1] - left[1] || left[0] - right[0]);
  return atHighest
    .filter((member) => member.configurationDigest !== common?.[0])
    .map((member) => member.instanceId);
}

/** Sums up what the members say of their configuration; the dead are left out. */
export function configurationStatus(members: readonly MemberRecord[]): ConfigurationStatus {
  const living = members.filter((member) => member.status !== 'dead');
  const highestVersion = Math.max(0, ...living.map((member) => member.configurationVersion));
  const instances = living
    .map((member) => ({
      instanceId: member.instanceId,
      region: member.region,
      failureDomain: member.failureDomain,
      status: member.status,
      version: member.configurationVersion,
      sinceUnixMs: member.configurationSinceUnixMs,
      confirmed: member.configurationConfirmed,
      watching: member.watching,
      behindVersions: highestVersion - member.configurationVersion,
    }))
    .sort((left, right) => (left.instanceId < right.instanceId ? -1 : 1));
  const lagging = instances
    .filter((instance) => instance.behindVersions > 0)
    .sort((left, right) => right.behindVersions - left.behindVersions)
    .map((instance) => instance.instanceId);
  const atHighest = living.filter((member) => member.configurationVersion === highestVersion);
  return { highestVersion, instances, lagging, conflicting: conflictingIds(atHighest) };
}
