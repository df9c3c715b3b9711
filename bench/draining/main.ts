/**
 * Rolling replacement of six instances on loopback under steady callers: what callers meet when a stop is told
 * first, and when it is not. Real time; about half a minute.
 */
import process from 'node:process';
import { DRAINING_EVENTS } from '../../src/core/draining';
import { createEntryCaller } from '../../src/testing/entry-caller';
import { FLEET_KEYS, startSmallFleet } from '../../src/testing/small-fleet';
import { waitFor } from '../../src/testing/wait-for';

const CALLERS = 12;
const TOKEN_INTERVAL_MS = 20;

interface Row {
  readonly noticeMs: number;
  readonly answered: number;
  readonly refusedNotRun: number;
  readonly lost: number;
  readonly servedWhileLeaving: number;
  readonly meanStopMs: number;
}

async function measure(noticeMs: number): Promise<Row> {
  await using fleet = await startSmallFleet({ noticeMs });
  for (const engine of fleet.engines.values()) engine.behaviour.tokenIntervalMs = TOKEN_INTERVAL_MS;
  const directory = fleet.instances.map(({ node }) => node.callerAddress);
  // Each caller finds its first instance at another place of the directory, and so in another region.
  const callers = Array.from({ length: CALLERS }, (_unused, index) => {
    const at = index % directory.length;
    return createEntryCaller(FLEET_KEYS.everywhere, [
      ...directory.slice(at),
      ...directory.slice(0, at),
    ]);
  });
  let isRolling = true;
  const load = callers.map(async (caller) => {
    while (isRolling) await caller.ask();
  });
  let stopMs = 0;
  let servedWhileLeaving = 0;
  const all = [...fleet.instances];
  for (const instance of all) {
    const startMs = performance.now();
    const next = await fleet.replace(instance);
    stopMs += performance.now() - startMs;
    const [line] = instance.logger.of(DRAINING_EVENTS.drained);
    servedWhileLeaving += Number(line?.fields.servedWhileLeaving ?? 0);
    await waitFor(() => next.node.isReady() && next.node.knownPeerCount() === 5, 'the next');
  }
  isRolling = false;
  await Promise.all(load);
  await Promise.all(callers.map((caller) => caller[Symbol.asyncDispose]()));
  const totals = callers.map((caller) => caller.totals);
  return {
    noticeMs,
    answered: totals.reduce((sum, { answered }) => sum + answered, 0),
    refusedNotRun: totals.reduce((sum, { notRun }) => sum + notRun, 0),
    lost: totals.reduce((sum, { lost }) => sum + lost.length, 0),
    servedWhileLeaving,
    meanStopMs: Math.round(stopMs / all.length),
  };
}

const rows: Row[] = [];
for (const noticeMs of [0, 500, 1_500]) rows.push(await measure(noticeMs));
if (process.argv.includes('--json')) console.log(JSON.stringify(rows));
else console.table(rows);
process.exit(0);
