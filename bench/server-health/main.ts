/**
 * Server health on a fake clock: how long a leaving or dead server goes on getting new work, and what the
 * checks cost one instance as the region grows.
 */
import process from 'node:process';
import { serverIdAt, startServerRegion } from '../../src/testing/server-region';
import type { ServerRegion } from '../../src/testing/server-region';

interface Row {
  readonly instances: number;
  readonly servers: number;
  readonly drainSpreadMs: number;
  readonly deathNoticedMs: number;
  readonly deathSpreadMs: number;
  readonly checksPerServerPerS: number;
  readonly checksPerInstancePerS: number;
  readonly cpuMsPerInstancePerS: number;
}

const SIZES = [
  { instanceCount: 2, serverCount: 8 },
  { instanceCount: 8, serverCount: 24 },
  { instanceCount: 8, serverCount: 72 },
  { instanceCount: 43, serverCount: 363 },
] as const;
const STEP_MS = 50;
const WARM_UP_MS = 3_000;
const QUIET_MS = 5_000;
const MAX_WAIT_MS = 20_000;

async function msUntil(region: ServerRegion, condition: () => boolean): Promise<number> {
  const startMs = region.clock.monotonicMs();
  while (!condition() && region.clock.monotonicMs() - startMs < MAX_WAIT_MS) {
    await region.clock.advanceByAsync(STEP_MS);
  }
  return region.clock.monotonicMs() - startMs;
}

async function measure(size: (typeof SIZES)[number]): Promise<Row> {
  const { instanceCount, serverCount } = size;
  const region = startServerRegion({ seed: 1, ...size });
  await region.clock.advanceByAsync(WARM_UP_MS);

  const probesBefore = region.probeCount();
  const cpuBefore = process.cpuUsage();
  await region.clock.advanceByAsync(QUIET_MS);
  const cpu = process.cpuUsage(cpuBefore);
  const checksPerS = ((region.probeCount() - probesBefore) / QUIET_MS) * 1000;

  const leaving = serverIdAt(1);
  region.answers.set(leaving, 'draining');
  await msUntil(region, () => region.usersOf(leaving) < instanceCount);
  const drainSpreadMs = await msUntil(region, () => region.usersOf(leaving) === 0);

  const dead = serverIdAt(2);
  region.answers.set(dead, 'failed');
  const deathNoticedMs = await msUntil(region, () => region.usersOf(dead) < instanceCount);
  const deathSpreadMs = await msUntil(region, () => region.usersOf(dead) === 0);

  return {
    instances: instanceCount,
    servers: serverCount,
    drainSpreadMs,
    deathNoticedMs,
    deathSpreadMs,
    checksPerServerPerS: Number((checksPerS / serverCount).toFixed(2)),
    checksPerInstancePerS: Number((checksPerS / instanceCount).toFixed(2)),
    cpuMsPerInstancePerS: Number(
      ((cpu.user + cpu.system) / 1000 / instanceCount / (QUIET_MS / 1000)).toFixed(2),
    ),
  };
}

const rows: Row[] = [];
for (const size of SIZES) rows.push(await measure(size));
if (process.argv.includes('--json')) console.log(JSON.stringify(rows));
else console.table(rows);
process.exit(0);
