import type { Writable } from 'node:stream';
import type { ConfigurationStatus } from '../../core/configuration-sync';
import { EXIT_CODES } from '../gateway-command';
import { fetchStatuses } from '../operator-client';
import { compareVersions } from './compare-versions';

function writeText(status: ConfigurationStatus, out: Writable): void {
  for (const instance of status.instances) {
    const since = instance.sinceUnixMs === 0 ? '-' : new Date(instance.sinceUnixMs).toISOString();
    const columns = [
      instance.instanceId,
      instance.region,
      instance.status,
      `version ${instance.version}`,
      `since ${since}`,
    ];
    if (instance.behindVersions > 0) columns.push(`behind by ${instance.behindVersions}`);
    if (status.conflicting.includes(instance.instanceId)) columns.push('another content');
    out.write(`${columns.join('\t')}\n`);
  }
}

/** Prints a row for each instance; the exit code says whether all have the highest version. */
export async function printStatus(
  instances: readonly string[],
  key: string,
  json: boolean,
  out: Writable,
): Promise<number> {
  const status = compareVersions(await fetchStatuses(instances, key));
  if (json) out.write(`${JSON.stringify(status)}\n`);
  else writeText(status, out);
  const isEven = status.lagging.length === 0 && status.conflicting.length === 0;
  return isEven ? EXIT_CODES.ok : EXIT_CODES.negative;
}
