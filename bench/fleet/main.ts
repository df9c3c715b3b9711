import process from 'node:process';
import { measureChangeCost, measureTargetSize } from './measure-change-cost';
import { measureGrpc } from './measure-grpc';
import { measureMembership } from './measure-membership';
import type { MembershipFigures } from './measure-membership';
import { measureSpread } from './measure-spread';
import type { SpreadFigures } from './measure-spread';

/**
 * The fleet: membership and configuration as instances are added, against what a node may spend.
 *
 * `npm run bench:fleet [-- --json] [-- --sizes 8,32]`. Bytes, counts and simulated times are the same in every
 * run; `corePercent` and the milliseconds of a change are real time and vary with the machine.
 */

/** What the deployment at its target may spend, beside the figures in the table. */
const LIMITS = {
  bytesPerSecond: 3_000,
  corePercent: 1.2,
  memoryBytes: 32 * 1024 * 1024,
  inForceEverywhereMs: 5_000,
  readsPerSecond: 2_000,
};

const SIZES = [8, 32, 100, 340];

function chosenSizes(): readonly number[] {
  const at = process.argv.indexOf('--sizes');
  return at === -1 ? SIZES : (process.argv[at + 1] ?? '').split(',').map(Number);
}

const membership: MembershipFigures[] = [];
const spread: SpreadFigures[] = [];
for (const size of chosenSizes()) {
  membership.push(await measureMembership(size));
  spread.push(await measureSpread(size));
}
const changeCost = measureChangeCost();
const targetSize = measureTargetSize();
const grpc = { counted: await measureGrpc(true), direct: await measureGrpc(false) };

const largest = {
  membership: membership.at(-1),
  spread: spread.at(-1),
};
const figures = { LIMITS, membership, spread, largest, changeCost, targetSize, grpc };

if (process.argv.includes('--json')) console.log(JSON.stringify(figures));
else {
  console.log('Limits of a node at the target', LIMITS);
  console.log('\nMembership on a virtual network');
  console.table(membership);
  console.log('\nConfiguration on a virtual network');
  console.table(spread);
  console.log('\nOne change with 18,000 callers and 2,900 servers');
  console.table(changeCost);
  console.table([targetSize]);
  console.log('\nMembership over gRPC on loopback');
  console.table([grpc.counted, grpc.direct]);
}
process.exit(0);
