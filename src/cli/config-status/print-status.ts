import type { Writable } from 'node:stream';
import { EXIT_CODES } from '../gateway-command';
import { fetchStatuses } from '../operator-client';
import { compareVersions } from './compare-versions';

/** Prints a row for each instance; the exit code says whether all have the highest version. */
export async function printStatus(
  instances: readonly string[],
  key: string,
  json: boolean,
  out: Writable,
): Promise<number> {
  const rows = compareVersions(await fetchStatuses(instances, key));
  if (json) {
    out.write(`${JSON.stringify(rows)}\n`);
  } else {
    for (const { instanceId, region, status, version, lags } of rows) {
      out.write(`${instanceId}\t${region}\t${status}\tversion ${version}${lags ? '\tlags' : ''}\n`);
    }
  }
  return rows.some((row) => row.lags) ? EXIT_CODES.negative : EXIT_CODES.ok;
}
