import { createCallerLimits } from '../../src/core/caller-limits';
import { configurationSchema, createConfigurationStore } from '../../src/core/configuration';
import type { Caller } from '../../src/core/configuration';
import type { GossipBoard, GossipStatement } from '../../src/core/gossip';
import { createSeededRandom } from '../../src/core/random';
import type { RandomSource } from '../../src/core/random';
import { RefusalError } from '../../src/core/refusals';
import { createFakeClock, createMemoryLogger } from '../../src/testing';
import { PER_NODE, TARGET } from './target';

/** What account limits make one instance tell the others, at the target's load. */

/** Figures of one instance. */
export interface CallerSharesFigures {
  readonly statementsPerSecond: number;
  /** Mean size of a statement's own text, bytes. */
  readonly textBytes: number;
  readonly refused: number;
}

const WARM_UP_MS = 30_000;
const MEASURED_MS = 120_000;
/** Skew of demand between callers: the busiest asks about ten times what the mean one does. */
const ZIPF_EXPONENT = 0.6;
const LIMITS = { requestsPerSecond: 50, burstRequests: 100 };

function callersOfOneEntry(): Caller[] {
  const count = Math.round(TARGET.callers / TARGET.nodes);
  return Array.from({ length: count }, (_unused, index) => ({
    id: `caller-${index}`,
    keySha256: index.toString(16).padStart(64, '0'),
    regions: ['a'],
    limits: LIMITS,
  }));
}

/** Draws callers so that few of them ask for most. */
function createCallerDraw(callers: readonly Caller[], random: RandomSource): () => Caller {
  const weights = callers.map((_caller, index) => 1 / (index + 1) ** ZIPF_EXPONENT);
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  return () => {
    let left = random.next() * total;
    const index = weights.findIndex((weight) => {
      left -= weight;
      return left <= 0;
    });
    return callers[Math.max(0, index)] as Caller;
  };
}

/** Plays the target's requests of one instance to its account limits on a fake clock. */
export async function measureCallerShares(): Promise<CallerSharesFigures> {
  const clock = createFakeClock();
  const random = createSeededRandom(1);
  const logger = createMemoryLogger();
  const callers = callersOfOneEntry();
  const configuration = createConfigurationStore(logger);
  const document = configurationSchema.parse({
    version: 1,
    deployment: 'capacity',
    regions: [{ name: 'a', failureDomains: ['a1'] }],
    services: [],
    backendServers: [],
    callers,
  });
  configuration.offer(JSON.stringify(document), 'bench');

  const told: GossipStatement[] = [];
  const gossip: GossipBoard = {
    put(statement) {
      told.push(statement);
    },
    entries: () => [],
    onEntry: () => ({ [Symbol.dispose]: () => undefined }),
  };
  const limits = createCallerLimits({
    clock,
    random,
    logger,
    gossip,
    configuration,
    instances: () => TARGET.nodes,
    record: undefined,
  });

  const draw = createCallerDraw(callers, random);
  let refused = 0;
  const endsAtMs = WARM_UP_MS + MEASURED_MS;
  while (clock.monotonicMs() < endsAtMs) {
    const gapMs = (-Math.log(1 - random.next()) / PER_NODE.requestsPerSecond) * 1000;
    await clock.advanceByAsync(gapMs);
    if (clock.monotonicMs() < WARM_UP_MS) told.length = 0;
    try {
      limits.require(draw(), 'request');
    } catch (error) {
      if (!(error instanceof RefusalError)) throw error;
      refused += 1;
    }
  }
  const ended = limits[Symbol.asyncDispose]();
  await ended;
  const textBytes = told.reduce(
    (sum, { key, payload, regions }) =>
      sum + Buffer.byteLength(key + payload + (regions ?? []).join()),
    0,
  );
  return {
    statementsPerSecond: told.length / (MEASURED_MS / 1000),
    textBytes: told.length === 0 ? 0 : textBytes / told.length,
    refused,
  };
}
