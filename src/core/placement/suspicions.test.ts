import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createSuspicions } from './suspicions';
import type { Trial } from './suspicions';

const SERVER = 's-1';
const STEP_MS = 10;
/** Time after which an endless answer is ended, ms. */
const FOUND_AFTER_MS = 100;
const ANSWER_MS = 200;

/** Offers a request to the server each 10 ms; returns the requests that it got and when it was sound again. */
function play(isInTrouble: (atMs: number) => boolean, untilMs: number) {
  const suspicions = createSuspicions();
  const open: { endsAtMs: number; isEndless: boolean; trial: Trial }[] = [];
  const endless: number[] = [];
  let soundAtMs: number | undefined;
  for (let nowMs = 0; nowMs < untilMs; nowMs += STEP_MS) {
    for (const request of open.filter(({ endsAtMs }) => endsAtMs === nowMs)) {
      if (request.isEndless) suspicions.recordMisbehaved(SERVER, nowMs);
      request.trial.end(request.isEndless ? 'failed' : 'whole', nowMs);
    }
    const standing = suspicions.standing(SERVER, nowMs);
    if (standing !== 'sound') soundAtMs = undefined;
    else if (endless.length > 0) soundAtMs ??= nowMs;
    if (standing === 'barred') continue;
    const isEndless = isInTrouble(nowMs);
    if (isEndless) endless.push(nowMs);
    const endsAtMs = nowMs + (isEndless ? FOUND_AFTER_MS : ANSWER_MS);
    open.push({ endsAtMs, isEndless, trial: suspicions.begin(SERVER) });
  }
  return { endless, soundAtMs };
}

// A server sends bytes without end for each request. If it were chosen again at once, each of 100 requests a second there
// would cost its caller seconds; if it stayed out, a server that was in trouble for a moment would be lost.
describe('a server whose answers have no end, 100 requests a second', () => {
  it('gets one request at a time, ever less often, once the first answer is ended', () => {
    const { endless } = play(() => true, 10_000);
    const later = endless.filter((atMs) => atMs >= FOUND_AFTER_MS);
    assert.ok(later.length <= 7, later.join(' '));
  });

  it('is used again within seconds once it is sound', () => {
    const { soundAtMs } = play((atMs) => atMs < 5_000, 10_000);
    assert.ok(soundAtMs !== undefined && soundAtMs <= 8_000, `${soundAtMs}`);
  });

  it('comes back within seconds each time it changes between trouble and soundness', () => {
    const { endless, soundAtMs } = play((atMs) => atMs % 6_000 < 1_000, 18_000);
    assert.ok(soundAtMs !== undefined && soundAtMs < 16_000, `${soundAtMs}`);
    const perTrouble = endless.filter((atMs) => atMs >= 6_000 && atMs < 12_000).length;
    assert.ok(perTrouble <= FOUND_AFTER_MS / STEP_MS + 2, `${perTrouble}`);
  });
});

describe('a request at a server under suspicion', () => {
  const cases = [
    {
      name: 'shows nothing if it was sent before',
      isBefore: true,
      result: 'whole',
      then: 'barred',
    },
    { name: 'shows that it is sound if it is answered', result: 'whole', then: 'sound' },
    {
      name: 'is followed by another one if it is rejected',
      result: 'inconclusive',
      then: 'onTrial',
    },
    { name: 'bars it again if it fails', result: 'failed', then: 'barred' },
    {
      name: 'may be of any kind if none has come',
      atMs: 2_500,
      result: 'inconclusive',
      then: 'overdue',
    },
  ] as const;
  for (const { name, result, then, ...more } of cases) {
    it(name, () => {
      const suspicions = createSuspicions();
      const before = suspicions.begin(SERVER);
      suspicions.recordMisbehaved(SERVER, 0);
      const atMs = 'atMs' in more ? more.atMs : 1_000;
      if ('isBefore' in more) before.end(result, 0);
      else suspicions.begin(SERVER).end(result, atMs);
      assert.equal(suspicions.standing(SERVER, 'isBefore' in more ? 0 : atMs), then);
    });
  }
});
