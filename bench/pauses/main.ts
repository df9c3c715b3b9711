/**
 * What a pause costs the first caller after it: the time of one request on loopback without and right after a
 * noticed pause, and what the looks cost while there is none. Real time.
 */
import process from 'node:process';
import { build } from 'hdr-histogram-js';
import { request } from 'undici';
import { createPauseGuard } from '../../src/core/pauses';
import { createSystemClock } from '../../src/runtime/system-clock';
import { createMemoryLogger } from '../../src/testing';
import { FLEET_KEYS, startSmallFleet } from '../../src/testing/small-fleet';

const ROUNDS = 20;
const PAUSE_MS = 30_000;
const LOOKS = 200_000;

await using fleet = await startSmallFleet();
const { node, clock } = fleet.instanceIn('windhoek');

async function askMs(): Promise<number> {
  const startMs = performance.now();
  const answer = await request(`http://${node.callerAddress}/v1/chat/completions`, {
    method: 'POST',
    body: JSON.stringify({ model: 'kit-large', messages: [] }),
    headers: { authorization: `Bearer ${FLEET_KEYS.everywhere}` },
  });
  await answer.body.text();
  if (answer.statusCode !== 200) throw new Error(`status ${answer.statusCode}`);
  return performance.now() - startMs;
}

async function measure(pausedMs: number) {
  const histogram = build();
  for (let round = 0; round < ROUNDS; round += 1) {
    if (pausedMs > 0) clock.jumpBy(pausedMs);
    histogram.recordValue(Math.round((await askMs()) * 1000));
  }
  return {
    pausedMs,
    medianMs: histogram.getValueAtPercentile(50) / 1000,
    largestMs: histogram.maxValue / 1000,
  };
}

await askMs();
const rows = [await measure(0), await measure(PAUSE_MS)];

const guard = createPauseGuard({
  clock: createSystemClock(),
  logger: createMemoryLogger(),
  refresh: async () => true,
});
const startMs = performance.now();
for (let look = 0; look < LOOKS; look += 1) guard.isStale();
const lookNs = Math.round(((performance.now() - startMs) / LOOKS) * 1e6);

if (process.argv.includes('--json')) console.log(JSON.stringify({ rows, lookNs }));
else {
  console.table(rows);
  console.log(`One look before a send: ${lookNs} ns`);
}
process.exit(0);
