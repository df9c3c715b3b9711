import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createRefusals } from '../server-notices';
import { servedShare, simulateRefusals } from './testing/simulate-refusals';
import type { ServerConduct } from './testing/simulate-refusals';

type Conduct = (atMs: number) => ServerConduct;

const DURATION_MS = 12_000;
/** Time in which the instances learn which servers refuse, ms. */
const SETTLED_MS = 2_000;
/** Requests per second that one server can do. */
const SERVER_PER_SECOND = 160;
/** "At most a few requests a second of the whole region at the refusing server". */
const MAX_PER_SECOND_AT_REFUSING = 5;

const takes: Conduct = () => ({ kind: 'takes' });
const refusesAll: Conduct = () => ({ kind: 'refusesAll', pauseMs: undefined });
const asksForPause: Conduct = () => ({ kind: 'refusesAll', pauseMs: 3_000 });

function run(servers: readonly Conduct[], instances: number, load: number) {
  const able = servers.filter((conduct) => conduct(DURATION_MS).kind !== 'refusesAll').length;
  return simulateRefusals({
    seed: instances,
    instances,
    servers,
    perSecond: able * SERVER_PER_SECOND * load,
    durationMs: DURATION_MS,
    createRefusals,
    singleAttemptShare: 0.5,
  });
}

// Guards against callers that are refused beside idle servers: a server that refuses at once looks the least loaded, so
// it gets most of the requests, and the retries spend their budget.
describe('servers that refuse requests at once beside nearly idle ones', () => {
  const CASES: readonly {
    readonly name: string;
    readonly servers: readonly Conduct[];
    readonly minServedShare: number;
  }[] = [
    {
      name: 'one of five',
      servers: [refusesAll, takes, takes, takes, takes],
      minServedShare: 0.99,
    },
    {
      name: 'one of five, which asks for pauses',
      servers: [asksForPause, takes, takes, takes, takes],
      minServedShare: 0.99,
    },
    {
      name: 'two of five',
      servers: [refusesAll, refusesAll, takes, takes, takes],
      minServedShare: 0.99,
    },
    { name: 'one of two', servers: [refusesAll, takes], minServedShare: 0.98 },
  ];
  for (const { name, servers, minServedShare } of CASES) {
    for (const instances of [1, 6]) {
      it(`get few of them, and nearly all callers are served: ${name}, ${instances} instances`, () => {
        const result = run(servers, instances, 0.2);
        const share = servedShare(result, { fromMs: SETTLED_MS });
        assert.ok(share >= minServedShare, `${share} served`);
        const arrivals = result.arrivals[0]?.filter((atMs) => atMs >= SETTLED_MS) ?? [];
        const perSecond = (arrivals.length * 1_000) / (DURATION_MS - SETTLED_MS);
        assert.ok(perSecond <= MAX_PER_SECOND_AT_REFUSING, `${perSecond} a second`);
      });
    }
  }
});

// Guards against a server that is lost for good after it has refused for a while, or for other requests than those
// that it refuses.
describe('a server that has refused requests', () => {
  const RECOVERY_AT_MS = 5_000;
  /** Time in which the share of refusals has decayed and a request has shown that the server takes requests again. */
  const RETURN_MS = 15_000;

  it('gets its share again some time after it has recovered', () => {
    const recovers: Conduct = (atMs) =>
      atMs < RECOVERY_AT_MS ? { kind: 'refusesAll', pauseMs: undefined } : { kind: 'takes' };
    const durationMs = RECOVERY_AT_MS + RETURN_MS + 5_000;
    const result = simulateRefusals({
      seed: 1,
      instances: 6,
      servers: [recovers, takes, takes],
      perSecond: 2 * SERVER_PER_SECOND * 0.2,
      durationMs,
      createRefusals,
      singleAttemptShare: 0.5,
    });
    const late = result.arrivals.map(
      (times) => times.filter((atMs) => atMs >= RECOVERY_AT_MS + RETURN_MS).length,
    );
    const [first = 0, ...others] = late;
    const mean = others.reduce((sum, count) => sum + count, 0) / others.length;
    assert.ok(first >= mean / 2, `${first} of it, ${mean} of the others`);
  });

  it('stays in use for short prompts if it refuses only long ones', () => {
    const refusesLong: Conduct = () => ({ kind: 'refusesLong', fromTokens: 5_000 });
    const result = run([refusesLong, takes, takes, takes, takes], 6, 0.2);
    assert.ok(servedShare(result, { fromMs: SETTLED_MS }) >= 0.99);
    const counts = result.arrivals.map((times) => times.length);
    assert.ok((counts[0] ?? 0) >= Math.max(...counts) / 2, `${counts.join(', ')} requests`);
  });
});

// Guards against a cascade: the servers that remain are full now and then, refuse a request, and are avoided one after
// the other until most callers are refused.
describe('a server that refuses all requests beside nearly full ones', () => {
  for (const instances of [1, 6]) {
    it(`costs hardly any caller more than servers that are nearly full do: ${instances} instances`, () => {
      const shares = [[refusesAll], []].map((refusing) =>
        servedShare(run([...refusing, takes, takes, takes, takes], instances, 0.9)),
      );
      const [withRefusing = 0, without = 1] = shares;
      assert.ok(withRefusing >= without * 0.98, `${withRefusing} and ${without} served`);
    });
  }
});
