/**
 * Engine orders on virtual time: time to converge, orders sent, weight store reads against its limit and the
 * fewest engines that served a changing name, under one sender, two senders, a pause and a cut; then the
 * arithmetic of handing a prefix cache over.
 */
import process from 'node:process';
import { startEngineRegion } from '../../src/testing/engine-region';
import type { EngineRegion, EngineRegionOptions } from '../../src/testing/engine-region';

const MINUTE_MS = 60_000;
const LIMIT_MS = 120 * MINUTE_MS;
const PAUSE_MS = 30_000;
const CUT_MS = 60_000;

interface Size {
  readonly engines: number;
  readonly names: number;
  readonly enginesPerName: number;
  readonly loadsPerMinute: number;
}

const SMALL: Size = { engines: 8, names: 2, enginesPerName: 4, loadsPerMinute: 12 };
const LARGE: Size = { engines: 363, names: 17, enginesPerName: 40, loadsPerMinute: 60 };

type Disturbance = 'none' | 'two senders' | 'sender paused 30 s' | 'half cut off 60 s';

interface Row {
  readonly engines: number;
  readonly fencing: string;
  readonly disturbance: Disturbance;
  readonly change: string;
  readonly convergedS: number;
  readonly orders: number;
  readonly reads: number;
  readonly mostReadsPerMinute: number;
  readonly limitPerMinute: number;
  readonly fewestServing: number;
}

const nameAt = (index: number) => `model-${index}`;

function wantedAt(size: Size, version: string) {
  return Array.from({ length: size.names }, (_unused, index) => ({
    name: nameAt(index),
    version: index === 0 ? version : 'v1',
    engines: size.enginesPerName,
  }));
}

function isSettled(region: EngineRegion, size: Size, version: string): boolean {
  return wantedAt(size, version).every(
    (wanted) =>
      region.servingCount(wanted.name, wanted.version) === wanted.engines &&
      region.servingCount(wanted.name) === wanted.engines,
  );
}

async function disturb(region: EngineRegion, disturbance: Disturbance): Promise<void> {
  const [first, second] = region.senders;
  if (first === undefined || second === undefined) return;
  switch (disturbance) {
    case 'none':
      return;
    case 'two senders':
      second.isSender = true;
      return;
    case 'sender paused 30 s':
      await region.clock.advanceByAsync(1_500);
      first.clock.pause();
      second.isSender = true;
      region.clock.schedule(region.clock.monotonicMs() + PAUSE_MS, () => first.clock.resume());
      return;
    case 'half cut off 60 s': {
      const ids = [...region.engines.keys()];
      ids.slice(0, ids.length / 2).forEach((id) => first.cut.add(id));
      region.clock.schedule(region.clock.monotonicMs() + CUT_MS, () => first.cut.clear());
      return;
    }
    default:
      disturbance satisfies never;
  }
}

async function measure(
  size: Size,
  fencing: EngineRegionOptions['fencing'],
  disturbance: Disturbance,
): Promise<Row[]> {
  await using region = startEngineRegion({
    engineCount: size.engines,
    senderCount: 2,
    fencing,
    slots: 4,
    loadMs: 20_000,
    loadsPerMinute: size.loadsPerMinute,
  });
  const rows: Row[] = [];
  for (const [index, version] of ['v1', 'v2'].entries()) {
    const ordersBefore = region.orderCount();
    const readsBefore = region.weightStore.readCount();
    const configuration = region.configurationOf(index + 1, wantedAt(size, version));
    region.senders.forEach((sender) => sender.configure(configuration));
    if (index === 1) await disturb(region, disturbance);
    let fewestServing = Infinity;
    const convergedMs = await region.timeUntil(() => {
      fewestServing = Math.min(fewestServing, region.servingCount(nameAt(0)));
      return isSettled(region, size, version);
    }, LIMIT_MS);
    rows.push({
      engines: size.engines,
      fencing,
      disturbance: index === 0 ? 'none' : disturbance,
      change: index === 0 ? 'all from nothing' : 'one name to v2',
      convergedS: Math.round(convergedMs / 1000),
      orders: region.orderCount() - ordersBefore,
      reads: region.weightStore.readCount() - readsBefore,
      mostReadsPerMinute: region.weightStore.mostReadsIn(MINUTE_MS),
      limitPerMinute: size.loadsPerMinute,
      fewestServing,
    });
  }
  return rows;
}

/** Handing a prefix cache over against working it out again: worked out, not measured. */
function handOverRows() {
  const models = [
    { model: '8 B, 32 layers', layers: 32, kvHeads: 8, headSize: 128, prefillTokensPerS: 30_000 },
    { model: '70 B, 80 layers', layers: 80, kvHeads: 8, headSize: 128, prefillTokensPerS: 8_000 },
  ];
  const bytesPerValue = 2;
  return models.map(({ model, layers, kvHeads, headSize, prefillTokensPerS }) => {
    const bytesPerToken = 2 * layers * kvHeads * headSize * bytesPerValue;
    const breakEvenGbitPerS = (bytesPerToken * prefillTokensPerS * 8) / 1e9;
    return {
      model,
      kibPerToken: bytesPerToken / 1024,
      gibPer8kPrefix: Number(((bytesPerToken * 8192) / 2 ** 30).toFixed(2)),
      prefillTokensPerS,
      breakEvenGbitPerS: Number(breakEvenGbitPerS.toFixed(1)),
    };
  });
}

const rows: Row[] = [];
for (const fencing of ['refuses', 'ignores'] as const) {
  for (const disturbance of [
    'none',
    'two senders',
    'sender paused 30 s',
    'half cut off 60 s',
  ] as const) {
    const measured = await measure(SMALL, fencing, disturbance);
    rows.push(...(disturbance === 'none' ? measured : measured.slice(1)));
  }
}
rows.push(...(await measure(LARGE, 'refuses', 'none')));
const handOver = handOverRows();

if (process.argv.includes('--json')) console.log(JSON.stringify({ rows, handOver }));
else {
  console.table(rows);
  console.table(handOver);
}
process.exit(0);
