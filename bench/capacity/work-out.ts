import type { Measured } from './measured';
import { fitLine, valueAt } from './slope';
import type { Point } from './slope';
import { CONTROL_LIMITS, PER_NODE, TARGET } from './target';

/** What one node costs at the target, worked out from measured figures. */

/** One line of the page. */
export interface CapacityRow {
  readonly role: string;
  readonly mechanism: string;
  /** How the value follows from what was measured. */
  readonly workedOutFrom: string;
  readonly value: number;
  readonly unit: string;
  readonly limit: number | undefined;
  /** Which limit rows of one sum share; summed in the last rows. */
  readonly budget: 'bytes' | 'core' | 'memory' | undefined;
}

const SECONDS_PER_DAY = 86_400;
const CHANGES_PER_SECOND = TARGET.configurationChangesPerDay / SECONDS_PER_DAY;

function atNodes<Row extends { readonly instances: number }>(rows: readonly Row[]): Row {
  const row = rows.find(({ instances }) => instances === TARGET.nodes);
  if (row === undefined) throw new Error(`Nothing was measured at ${TARGET.nodes} nodes.`);
  return row;
}

function describePoints(points: readonly Point[]): string {
  return points.map(({ x, y }) => `${x}: ${Number(y.toPrecision(3))}`).join(', ');
}

function membershipRows({ fleet }: Measured): CapacityRow[] {
  const bytes = fleet.membership.map((row) => ({ x: row.instances, y: row.bytesPerSecond }));
  const line = fitLine(bytes.filter(({ x }) => x >= 32));
  const { exchangesPerSecond, deadMs } = atNodes(fleet.membership);
  const perExchange = fleet.grpc.direct.corePercent / fleet.grpc.direct.exchangesPerSecond;
  return [
    {
      role: 'membership and gossip',
      mechanism: 'a few partners, deltas, byte budget a message',
      workedOutFrom: `measured (${describePoints(bytes)}); line from 32 on, fit ${line.fit.toFixed(2)}`,
      value: valueAt(line, TARGET.nodes),
      unit: 'bytes/s',
      limit: CONTROL_LIMITS.bytesPerSecond,
      budget: 'bytes',
    },
    {
      role: 'membership over gRPC',
      mechanism: 'unary calls to a few partners',
      workedOutFrom: `${perExchange.toFixed(2)}% of a core for one exchange/s over gRPC, times ${exchangesPerSecond.toFixed(2)} at ${TARGET.nodes} nodes`,
      value: perExchange * exchangesPerSecond,
      unit: '% of a core',
      limit: CONTROL_LIMITS.corePercent,
      budget: 'core',
    },
    {
      role: 'a failed node is known as dead',
      mechanism: 'suspicion with denial, then death',
      workedOutFrom: 'measured at 340 nodes on virtual time',
      value: deadMs,
      unit: 'ms',
      limit: undefined,
      budget: undefined,
    },
  ];
}

function configurationRows({ fleet }: Measured): CapacityRow[] {
  const spread = atNodes(fleet.spread);
  const membership = atNodes(fleet.membership);
  const change = fleet.changeCost.find(({ form }) => form === 'sections and changes');
  if (change === undefined) throw new Error('The cost of a change was not measured.');
  return [
    {
      role: 'configuration: bytes',
      mechanism: 'a change costs its size; fetched from peers',
      workedOutFrom: `measured at ${TARGET.nodes} nodes with changes, less membership alone`,
      value: spread.bytesPerSecond - membership.bytesPerSecond,
      unit: 'bytes/s',
      limit: CONTROL_LIMITS.bytesPerSecond,
      budget: 'bytes',
    },
    {
      role: 'configuration: processor',
      mechanism: 'changed records alone are checked and indexed',
      workedOutFrom: `measured with ${TARGET.callers} callers, times ${CHANGES_PER_SECOND.toFixed(3)} changes/s`,
      value: change.corePercent,
      unit: '% of a core',
      limit: CONTROL_LIMITS.corePercent,
      budget: 'core',
    },
    {
      role: 'configuration: in force everywhere',
      mechanism: 'few watchers a failure domain, then peer to peer',
      workedOutFrom: 'measured at 340 nodes on virtual time, from one instance that has it',
      value: spread.fromOneInstanceMs,
      unit: 'ms',
      limit: TARGET.configurationSpreadMs,
      budget: undefined,
    },
    {
      role: 'configuration service: reads',
      mechanism: 'two watchers a failure domain, by rendezvous',
      workedOutFrom: 'counted at 340 nodes, 16,000 changes a day',
      value: spread.readsPerSecond,
      unit: 'reads/s',
      limit: TARGET.serviceReadsPerSecond,
      budget: undefined,
    },
    {
      role: 'configuration service: reads, all start at once',
      mechanism: 'ask peers first; jitter',
      workedOutFrom: 'counted, highest second',
      value: spread.restartPeakReadsPerSecond,
      unit: 'reads/s',
      limit: TARGET.serviceReadsPerSecond,
      budget: undefined,
    },
    {
      role: 'configuration and members: memory',
      mechanism: 'look-ups built once a version',
      workedOutFrom: `measured heap with ${TARGET.callers} callers and ${TARGET.engines} engines`,
      value: fleet.targetSize.heapBytes / 2 ** 20,
      unit: 'MiB',
      limit: CONTROL_LIMITS.memoryBytes / 2 ** 20,
      budget: 'memory',
    },
  ];
}

function limitAndHealthRows({ callerLimits, serverHealth, edge }: Measured): CapacityRow[] {
  const checks = Math.max(...serverHealth.map((row) => row.checksPerServerPerS));
  const checksPerNode = (checks * TARGET.engines) / TARGET.nodes;
  const perRequest = edge('processor time');
  return [
    {
      role: 'account limits: bytes',
      mechanism: 'announcements of notable demand, small demand by chance',
      workedOutFrom: `counted at ${TARGET.nodes} instances, 200 bytes an announcement assumed`,
      value: atNodes(callerLimits).bytesPerSecond,
      unit: 'bytes/s',
      limit: CONTROL_LIMITS.bytesPerSecond,
      budget: 'bytes',
    },
    {
      role: 'health checks: processor',
      mechanism: 'two checkers a server, by rendezvous in its region',
      workedOutFrom: `${checksPerNode.toFixed(1)} checks/s a node (counted), each taken to cost a whole request (${perRequest.toFixed(0)} µs)`,
      value: (checksPerNode * perRequest) / 1e4,
      unit: '% of a core',
      limit: CONTROL_LIMITS.corePercent,
      budget: 'core',
    },
    {
      role: 'a leaving server gets no new work',
      mechanism: 'marks by gossip',
      workedOutFrom: 'measured on virtual time, 43 instances and 363 servers in one region',
      value: serverHealth.at(-1)?.drainSpreadMs ?? NaN,
      unit: 'ms',
      limit: 2_000,
      budget: undefined,
    },
  ];
}

function trafficRows({ edge }: Measured): CapacityRow[] {
  const perRequest = edge('processor time');
  const perToken = edge('streamed token');
  return [
    {
      role: 'requests',
      mechanism: 'one thread an instance',
      workedOutFrom: `${perRequest.toFixed(0)} µs a request, times ${PER_NODE.requestsPerSecond.toFixed(1)}/s`,
      value: (perRequest * PER_NODE.requestsPerSecond) / 1e4,
      unit: '% of a core',
      limit: undefined,
      budget: undefined,
    },
    {
      role: 'streamed tokens',
      mechanism: 'bytes passed on as they come',
      workedOutFrom: `${perToken.toFixed(1)} µs a token, times ${PER_NODE.tokensPerSecond.toFixed(0)}/s`,
      value: (perToken * PER_NODE.tokensPerSecond) / 1e4,
      unit: '% of a core',
      limit: undefined,
      budget: undefined,
    },
  ];
}

function sumRow(
  rows: readonly CapacityRow[],
  budget: NonNullable<CapacityRow['budget']>,
  unit: string,
  limit: number,
): CapacityRow {
  const parts = rows.filter((row) => row.budget === budget);
  return {
    role: `all control: ${unit}`,
    mechanism: 'sum of the rows above',
    workedOutFrom: parts.map(({ role }) => role).join(' + '),
    value: parts.reduce((sum, { value }) => sum + value, 0),
    unit,
    limit,
    budget: undefined,
  };
}

/** All rows, the sums against the limits of control last. */
export function workOutCapacity(measured: Measured): CapacityRow[] {
  const rows = [
    ...membershipRows(measured),
    ...configurationRows(measured),
    ...limitAndHealthRows(measured),
    ...trafficRows(measured),
  ];
  return [
    ...rows,
    sumRow(rows, 'bytes', 'bytes/s', CONTROL_LIMITS.bytesPerSecond),
    sumRow(rows, 'core', '% of a core', CONTROL_LIMITS.corePercent),
    sumRow(rows, 'memory', 'MiB', CONTROL_LIMITS.memoryBytes / 2 ** 20),
  ];
}

function verdictOf({ value, limit }: CapacityRow): string {
  if (limit === undefined) return '';
  if (value <= limit) return 'inside';
  return `misses by ${((value / limit - 1) * 100).toFixed(0)}%`;
}

/** The rows as a Markdown table. */
export function toMarkdown(rows: readonly CapacityRow[]): string {
  const lines = rows.map((row) =>
    [
      row.role,
      row.mechanism,
      row.workedOutFrom,
      `${Number(row.value.toPrecision(3))} ${row.unit}`,
      row.limit === undefined ? '' : `${Number(row.limit.toPrecision(4))}`,
      verdictOf(row),
    ].join(' | '),
  );
  const head = 'role | mechanism | worked out from | at the target | limit | verdict';
  return [head, '--- | --- | --- | --- | --- | ---', ...lines]
    .map((line) => `| ${line} |`)
    .join('\n');
}
