/**
 * Account limits at the size of the target: 18,000 accounts, 340 instances, 6,600 requests/s, a limit of 50 a second.
 * Counts announcements and state over a virtual minute and times a decision. `--json` prints the figures as JSON.
 */
import { createCallerLimiter, createOthersDemand } from '../../src/core/caller-limits';
import { createSeededRandom, pickIndex } from '../../src/core/random';

const ACCOUNTS = 18_000;
const REQUESTS_PER_SECOND = 6_600;
const SECONDS = 60;
const LIMIT = { requestsPerSecond: 50, burstRequests: 100 };
/** Topic, key, origin, version, expiry, regions and payload of one statement as JSON, bytes. */
const STATEMENT_BYTES = 200;
/** Part of an account's requests that use another instance than its entry. */
const STRAYS = 0.1;

interface Figures {
  readonly instances: number;
  readonly announcementsPerSecond: number;
  readonly bytesPerSecond: number;
  readonly mostCallersAtOneInstance: number;
  readonly refused: number;
  readonly microsecondsPerDecision: number;
}

function measure(instances: number): Figures {
  const random = createSeededRandom(instances);
  const limiters = Array.from({ length: instances }, (_unused, at) =>
    createCallerLimiter({
      random: createSeededRandom(at + 1),
      others: createOthersDemand(),
      instances: () => instances,
    }),
  );
  const requests = REQUESTS_PER_SECOND * SECONDS;
  let announcements = 0;
  let refused = 0;
  let decidedMs = 0;
  for (let request = 0; request < requests; request += 1) {
    // The cube makes a few accounts send most: the first hundred send 18% of all.
    const account = Math.floor(ACCOUNTS * random.next() ** 3);
    const entry = random.next() < STRAYS ? pickIndex(random, instances) : account % instances;
    const limiter = limiters[entry];
    const nowMs = (request * 1_000) / REQUESTS_PER_SECOND;
    const beganMs = performance.now();
    const result = limiter?.decide(`account-${account}`, LIMIT, nowMs);
    decidedMs += performance.now() - beganMs;
    if (result?.announcement !== undefined) announcements += 1;
    if (result?.decision.kind === 'refuse') refused += 1;
  }
  return {
    instances,
    announcementsPerSecond: announcements / SECONDS,
    bytesPerSecond: (announcements / SECONDS) * STATEMENT_BYTES,
    mostCallersAtOneInstance: Math.max(...limiters.map((limiter) => limiter.callers())),
    refused,
    microsecondsPerDecision: (decidedMs * 1_000) / requests,
  };
}

const figures = [8, 340].map(measure);
if (process.argv.includes('--json')) console.log(JSON.stringify(figures, null, 2));
else console.table(figures);
