/**
 * Entry choice under lagging load: how unevenly three policies spread callers of unequal size, how many callers
 * they move, and what a lost failure domain does. Virtual time; each run has the same callers and moments.
 */
import process from 'node:process';
import { chooseEntry } from '../../src/core/entry';
import type { MemberState } from '../../src/core/membership';
import { createSeededRandom, pickIndex } from '../../src/core/random';

const CALLERS = 2_000;
const INSTANCES = 8;
const DOMAINS = 4;
const ASK_EVERY_MS = 8_000;
const LOAD_EXCHANGE_MS = 500;
const END_MS = 120_000;
const DOMAIN_LOST_AT_MS = 60_000;
const WARM_UP_MS = 20_000;
/** Open requests of all callers together. */
const TOTAL_REQUESTS = 800;
const REGION = 'rundu';

type Policy = (members: readonly MemberState[], key: string) => string | undefined;

function leastLoaded(members: readonly MemberState[]): string | undefined {
  const alive = members.filter((member) => member.status === 'alive');
  return alive.sort((left, right) => left.inFlightRequests - right.inFlightRequests)[0]?.instanceId;
}

const weighted: Policy = (members, key) =>
  chooseEntry({ members, regions: [REGION], homeRegion: REGION, key })?.entry.instanceId;

const POLICIES: Readonly<Record<string, Policy>> = {
  'least loaded': leastLoaded,
  'hashing, no weights': (members, key) =>
    weighted(
      members.map((member) => ({ ...member, inFlightRequests: 0 })),
      key,
    ),
  'hashing with weights (used)': weighted,
};

/** Added to each caller's rank before the load is dealt by its inverse: the largest has 12% or 2% of it. */
const FLATTENING = { skewed: 1, even: 10 } as const;

interface Row {
  readonly callers: string;
  readonly policy: string;
  /** Mean over time of the busiest instance's load against the mean load. */
  readonly peakToMean: number;
  /** Largest share of all load that came to one instance within a second after the loss. */
  readonly herdShare: number;
  /** Share of questions of callers with a live instance that moved them. */
  readonly movedShare: number;
}

function run(policy: string, choose: Policy, sizes: 'even' | 'skewed'): Row {
  const random = createSeededRandom(7);
  const shares = Array.from({ length: CALLERS }, (_unused, rank) => 1 / (rank + FLATTENING[sizes]));
  const sum = shares.reduce((total, size) => total + size, 0);
  const requests = shares.map((size) => (size / sum) * TOTAL_REQUESTS);
  const askAtMs = requests.map(() => random.next() * ASK_EVERY_MS);
  const at: (string | undefined)[] = requests.map(() => undefined);
  let members: MemberState[] = Array.from({ length: INSTANCES }, (_unused, index) => ({
    instanceId: `instance-${index}`,
    incarnation: 1,
    sequence: 1,
    region: REGION,
    failureDomain: `domain-${index % DOMAINS}`,
    callerAddress: '',
    peerAddress: '',
    status: 'alive',
    configurationVersion: 1,
    inFlightRequests: 0,
  }));
  const loadOf = (instanceId: string) =>
    requests.reduce((total, size, caller) => total + (at[caller] === instanceId ? size : 0), 0);

  let asked = 0;
  let moved = 0;
  let peakSum = 0;
  let samples = 0;
  let herd = 0;
  for (let nowMs = 0; nowMs < END_MS; nowMs += 50) {
    if (nowMs === DOMAIN_LOST_AT_MS) {
      const gained = new Map<string, number>();
      const left: readonly MemberState[] = members.map((member) =>
        member.failureDomain === 'domain-0' ? { ...member, status: 'dead' } : member,
      );
      members = [...left];
      const isDead = new Set(
        left.filter(({ status }) => status === 'dead').map(({ instanceId }) => instanceId),
      );
      // Everybody whose instance went asks within the same second, at any of the others.
      requests.forEach((size, caller) => {
        if (!isDead.has(at[caller] ?? '')) return;
        at[caller] = choose(left, `caller-${caller}`);
        askAtMs[caller] = nowMs + random.next() * ASK_EVERY_MS;
        gained.set(at[caller] ?? '', (gained.get(at[caller] ?? '') ?? 0) + size);
      });
      herd = Math.max(...gained.values()) / TOTAL_REQUESTS;
    }
    for (let caller = 0; caller < CALLERS; caller += 1) {
      if ((askAtMs[caller] ?? 0) > nowMs) continue;
      askAtMs[caller] = nowMs + ASK_EVERY_MS * (0.6 + 0.4 * random.next());
      const entry = choose(members, `caller-${caller}`);
      if (nowMs > WARM_UP_MS) {
        asked += 1;
        if (entry !== at[caller]) moved += 1;
      }
      at[caller] = entry;
    }
    if (nowMs % LOAD_EXCHANGE_MS !== 0) continue;
    members = members.map((member) => ({
      ...member,
      inFlightRequests: member.status === 'alive' ? Math.round(loadOf(member.instanceId)) : 0,
    }));
    if (nowMs <= WARM_UP_MS) continue;
    const alive = members.filter(({ status }) => status === 'alive');
    const loads = alive.map(({ inFlightRequests }) => inFlightRequests);
    const mean = loads.reduce((total, load) => total + load, 0) / loads.length;
    peakSum += Math.max(...loads) / mean;
    samples += 1;
  }
  return {
    callers: sizes,
    policy,
    peakToMean: Number((peakSum / samples).toFixed(2)),
    herdShare: Number(herd.toFixed(3)),
    movedShare: Number((moved / asked).toFixed(4)),
  };
}

/** Time of one choice at the size that is planned for. */
function choiceMicros(): number {
  const members: MemberState[] = Array.from({ length: 340 }, (_unused, index) => ({
    instanceId: `instance-${index}`,
    incarnation: 1,
    sequence: 1,
    region: `region-${index % 8}`,
    failureDomain: `domain-${index % 30}`,
    callerAddress: '',
    peerAddress: '',
    status: 'alive',
    configurationVersion: 1,
    inFlightRequests: pickIndex(createSeededRandom(index), 40),
  }));
  const rounds = 2_000;
  const regions = ['region-1', 'region-2', 'region-3'];
  const startMs = performance.now();
  for (let round = 0; round < rounds; round += 1) {
    chooseEntry({ members, regions, homeRegion: 'region-1', key: `caller-${round}` });
  }
  return Math.round(((performance.now() - startMs) / rounds) * 1000);
}

const rows = (['even', 'skewed'] as const).flatMap((sizes) =>
  Object.entries(POLICIES).map(([policy, choose]) => run(policy, choose, sizes)),
);
const micros = choiceMicros();
if (process.argv.includes('--json')) {
  console.log(JSON.stringify({ rows, choiceMicrosAt340Instances: micros }));
} else {
  console.table(rows);
  console.log(`One choice among 340 instances, 128 of them allowed: ${micros} µs`);
}
