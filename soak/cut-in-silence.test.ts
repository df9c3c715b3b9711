import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { checkSilence, tallySilence } from './cut-in-silence';
import type { SilenceRecord } from './cut-in-silence';
import { streamBody } from './promises';
import type { CallerAttempt, ServerRun, SilencedRequest, SilentServer } from './types';

const SENT_MS = 10_000;
const SERVER = 's-1@1';
const OTHER = 's-2@1';
const REQUEST_ID = 'r-1';

const STREAM: CallerAttempt = {
  requestId: REQUEST_ID,
  address: '0',
  atMs: SENT_MS,
  endedAtMs: SENT_MS + 1_500,
  hasLeft: false,
  kind: 'stream',
  isResumable: true,
  isBoundToRegion: false,
  maxAttempts: 2,
  key: 'k-farm',
  status: 200,
  isWhole: false,
  isSigned: true,
  body: streamBody(REQUEST_ID).slice(0, 20),
};
const WHOLE = { isWhole: true, body: streamBody(REQUEST_ID) };

const RUN: ServerRun = {
  requestId: REQUEST_ID,
  serverId: 's-1',
  server: SERVER,
  atMs: SENT_MS + 10,
  account: 'farm',
  sawKey: false,
};
const RUN_ELSEWHERE: ServerRun = {
  ...RUN,
  serverId: 's-2',
  server: OTHER,
  atMs: SENT_MS + 1_200,
};

const STANDSTILL = { server: SERVER, fromMs: SENT_MS + 50, toMs: SENT_MS + 2_000 };
const BREAK = {
  requestId: REQUEST_ID,
  server: SERVER,
  atMs: SENT_MS + 1_400,
  kind: 'brokenOff',
} as const;
const PLACE = { region: 'region-0', softwareVersion: 'v1' };
const SILENCED: SilencedRequest = {
  requestId: REQUEST_ID,
  sinceMs: SENT_MS + 10,
  hasBegun: false,
};
const SILENT: SilentServer = {
  ...PLACE,
  server: SERVER,
  fromMs: SENT_MS + 50,
  requests: [SILENCED],
};
const SERVING = { ...PLACE, server: OTHER, fromMs: 0, toMs: Infinity };

const RECORD: SilenceRecord = {
  attempts: [STREAM],
  runs: [RUN],
  arrivals: [RUN],
  standstills: [STANDSTILL],
  silentServers: [],
  failedAnswers: [],
  ends: [],
  servingTimes: [SERVING],
  brittleTimes: [],
  interruptions: [],
  instancesOf: () => [0],
};

interface CutCase {
  readonly name: string;
  readonly record?: Partial<SilenceRecord>;
  readonly attempt?: Partial<CallerAttempt>;
  readonly cut: number;
}

const CUT_CASES: readonly CutCase[] = [
  { name: 'closed midway', cut: 1 },
  { name: 'closed before its head', attempt: { status: undefined, body: '' }, cut: 1 },
  { name: 'replaced by 502', attempt: { status: 502, isWhole: true, body: '' }, cut: 1 },
  { name: 'replaced by 504', attempt: { status: 504, isWhole: true, body: '' }, cut: 1 },
  {
    name: 'of an order replaced by 502',
    attempt: { kind: 'nonIdempotent', isResumable: false, status: 502, isWhole: true, body: '' },
    cut: 1,
  },
  { name: 'whole', attempt: WHOLE, cut: 0 },
  { name: 'a failure of the server', attempt: { status: 500, isWhole: true }, cut: 0 },
  { name: 'replaced by a refusal', attempt: { status: 503, isWhole: true }, cut: 0 },
  { name: 'closed at the deadline', attempt: { endedAtMs: SENT_MS + 4_000 }, cut: 0 },
  { name: 'closed just before it', attempt: { endedAtMs: SENT_MS + 3_999 }, cut: 1 },
  { name: 'left by its caller', attempt: { hasLeft: true }, cut: 0 },
  { name: 'closed though its server moved', record: { standstills: [] }, cut: 0 },
  {
    name: 'closed though another server stood still',
    record: { standstills: [{ ...STANDSTILL, server: OTHER }] },
    cut: 0,
  },
  {
    name: 'closed before its server stood still',
    record: { standstills: [{ ...STANDSTILL, fromMs: SENT_MS + 1_600 }] },
    cut: 0,
  },
  { name: 'closed without any run', record: { runs: [] }, cut: 0 },
  {
    name: 'closed as its server ended',
    record: { ends: [{ server: SERVER, atMs: SENT_MS + 1_500 }] },
    cut: 0,
  },
  {
    name: 'closed before its server ended',
    record: { ends: [{ server: SERVER, atMs: SENT_MS + 1_600 }] },
    cut: 1,
  },
  {
    name: 'closed as another server ended',
    record: { ends: [{ server: OTHER, atMs: SENT_MS + 1_000 }] },
    cut: 1,
  },
  { name: 'broken off by its server', record: { failedAnswers: [BREAK] }, cut: 0 },
  {
    name: 'closed while the server broke another one off',
    record: { failedAnswers: [{ ...BREAK, requestId: 'r-2' }] },
    cut: 1,
  },
  {
    name: 'broken off elsewhere, and closed by the server that went on with it',
    record: {
      runs: [RUN, { ...RUN_ELSEWHERE, atMs: SENT_MS }],
      failedAnswers: [{ ...BREAK, server: OTHER, atMs: SENT_MS + 5 }],
    },
    cut: 1,
  },
  {
    name: 'broken off by the server that had gone on with it',
    record: { runs: [RUN, RUN_ELSEWHERE], failedAnswers: [{ ...BREAK, server: OTHER }] },
    cut: 0,
  },
  {
    name: 'closed as its server fell silent',
    record: { silentServers: [SILENT] },
    cut: 0,
  },
  {
    name: 'closed as its instance was killed',
    record: {
      interruptions: [{ instance: 0, fromMs: SENT_MS + 1_490, toMs: SENT_MS + 1_500 }],
    },
    cut: 0,
  },
  {
    name: 'closed while its instance stood still',
    record: { interruptions: [{ instance: 0, fromMs: SENT_MS, toMs: Infinity }] },
    cut: 0,
  },
  {
    name: 'closed while another instance stood still',
    record: { interruptions: [{ instance: 1, fromMs: SENT_MS, toMs: Infinity }] },
    cut: 1,
  },
  {
    name: 'closed after its instance stood still',
    record: { interruptions: [{ instance: 0, fromMs: 0, toMs: SENT_MS - 1 }] },
    cut: 1,
  },
];

// A server collects garbage for a second, and instances close the answers that it was writing.
describe('an answer of a server that stood still', () => {
  for (const { name, record, attempt, cut } of CUT_CASES) {
    it(`counts as ${cut === 0 ? 'sound' : 'cut'}: ${name}`, () => {
      const attempts = [{ ...STREAM, ...attempt }];
      const tally = tallySilence({ ...RECORD, ...record, attempts });
      assert.equal(tally.cut.length, cut);
      const broken = checkSilence(tally).map(({ promise }) => promise);
      assert.deepEqual(broken, cut === 0 ? [] : ['cutInSilence']);
    });
  }
});

const STREAM_CASES = [
  { name: 'that may be resumed', attempt: {}, counts: [1, 0] },
  { name: 'that may not', attempt: { isResumable: false }, counts: [0, 1] },
  {
    name: 'that is taken up',
    attempt: { takesUp: { firstRequestId: 'r-0', lastEventId: 1 } },
    counts: [0, 0],
  },
  { name: 'of a plain answer', attempt: { kind: 'idempotent' as const }, counts: [0, 0] },
  { name: 'over a quota', attempt: { key: 'k-yard' }, counts: [0, 0] },
  { name: 'without an answer', attempt: { status: undefined }, counts: [0, 0] },
  {
    name: 'that ended before',
    attempt: { endedAtMs: SENT_MS + 20 },
    counts: [0, 0],
  },
  {
    name: 'that began later',
    attempt: { atMs: SENT_MS + 2_001, endedAtMs: SENT_MS + 2_100 },
    counts: [0, 0],
  },
];

describe('a stream while servers stand still', () => {
  for (const { name, attempt, counts } of STREAM_CASES) {
    it(`counts ${counts.join(' and ')}: one ${name}`, () => {
      const { resumable, others } = tallySilence({
        ...RECORD,
        attempts: [{ ...STREAM, ...attempt }],
      });
      assert.deepEqual([resumable.count, others.count], counts);
    });
  }
});

const SERVED_CASES: readonly {
  readonly name: string;
  readonly attempt: Partial<CallerAttempt>;
  readonly record: Partial<SilenceRecord>;
  readonly served: number;
}[] = [
  { name: 'a whole one', attempt: WHOLE, record: {}, served: 1 },
  { name: 'one that was closed midway', attempt: {}, record: {}, served: 0 },
  { name: 'one that was refused', attempt: { status: 503 }, record: { runs: [] }, served: 0 },
  {
    name: 'one that its server broke off',
    attempt: {},
    record: { failedAnswers: [BREAK] },
    served: 1,
  },
  {
    name: 'one whose server ended',
    attempt: {},
    record: { ends: [{ server: SERVER, atMs: SENT_MS + 1_400 }] },
    served: 1,
  },
];

// Servers break some streams off more often than others. Left out, these streams would make the others seem refused.
describe('a stream that was served while servers stood still', () => {
  for (const { name, attempt, record, served } of SERVED_CASES) {
    it(`is ${served === 1 ? '' : 'not '}${name}`, () => {
      const attempts = [{ ...STREAM, ...attempt }];
      const { resumable } = tallySilence({ ...RECORD, ...record, attempts });
      assert.deepEqual(resumable, { count: 1, answered: served });
    });
  }
});

interface SilencedCase {
  readonly name: string;
  readonly record?: Partial<SilenceRecord>;
  readonly attempt?: Partial<CallerAttempt>;
  readonly request?: Partial<SilencedRequest>;
  /** Judged requests, and those of them with a whole answer in time. */
  readonly counts: readonly [number, number];
}

const SAFE = { kind: 'idempotent', isResumable: false } as const;
const SILENCED_CASES: readonly SilencedCase[] = [
  { name: 'a stream that got no whole answer', counts: [1, 0] },
  { name: 'a stream with a whole answer', attempt: WHOLE, counts: [1, 1] },
  {
    name: 'a stream with a whole answer too late',
    attempt: { ...WHOLE, endedAtMs: SENT_MS + 4_001 },
    counts: [1, 0],
  },
  { name: 'a safe request that was refused', attempt: { ...SAFE, status: 503 }, counts: [1, 0] },
  { name: 'a failure of the other server', attempt: { ...SAFE, status: 500 }, counts: [1, 0] },
  {
    name: 'a failure that the other server did answer',
    attempt: { ...SAFE, status: 500 },
    record: { failedAnswers: [{ ...BREAK, server: OTHER, kind: 'failure' }] },
    counts: [0, 0],
  },
  {
    name: 'an order',
    attempt: { kind: 'nonIdempotent', isResumable: false },
    counts: [0, 0],
  },
  { name: 'a stream that may not be resumed', attempt: { isResumable: false }, counts: [0, 0] },
  { name: 'one that may be sent once', attempt: { maxAttempts: 1 }, counts: [0, 0] },
  {
    name: 'one that another server had before',
    record: { arrivals: [RUN, { ...RUN_ELSEWHERE, atMs: SENT_MS }] },
    counts: [0, 0],
  },
  {
    name: 'one that another server got later',
    record: { arrivals: [RUN, RUN_ELSEWHERE] },
    counts: [1, 0],
  },
  { name: 'one whose caller left', attempt: { hasLeft: true }, counts: [0, 0] },
  {
    name: 'one whose instance was killed',
    record: { interruptions: [{ instance: 0, fromMs: SENT_MS + 100, toMs: SENT_MS + 100 }] },
    counts: [0, 0],
  },
  { name: 'one without another server', record: { servingTimes: [] }, counts: [0, 0] },
  {
    name: 'one with no other server but the silent one',
    record: { servingTimes: [{ ...SERVING, server: SERVER }] },
    counts: [0, 0],
  },
  {
    name: 'one with another server in another region',
    record: { servingTimes: [{ ...SERVING, region: 'region-1' }] },
    counts: [0, 0],
  },
  {
    name: 'one with another server that has just begun to serve',
    record: { servingTimes: [{ ...SERVING, fromMs: SENT_MS }] },
    counts: [0, 0],
  },
  {
    name: 'one with another server that stopped serving',
    record: { servingTimes: [{ ...SERVING, toMs: SENT_MS + 1_000 }] },
    counts: [0, 0],
  },
  {
    name: 'one while servers were brittle',
    record: { brittleTimes: [{ fromMs: 0, toMs: SENT_MS + 100, falls: 0 }] },
    counts: [0, 0],
  },
  {
    name: 'one that had not begun, with a server of another version',
    record: { servingTimes: [{ ...SERVING, softwareVersion: 'v1.1' }] },
    counts: [1, 0],
  },
  {
    name: 'one that had begun, with a server of another version',
    request: { hasBegun: true },
    record: { servingTimes: [{ ...SERVING, softwareVersion: 'v1.1' }] },
    counts: [0, 0],
  },
  {
    name: 'one that takes a stream up, with a server of another version',
    attempt: { takesUp: { firstRequestId: 'r-0', lastEventId: 1 } },
    record: { servingTimes: [{ ...SERVING, softwareVersion: 'v1.1' }] },
    counts: [0, 0],
  },
  { name: 'one that had begun', request: { hasBegun: true }, counts: [1, 0] },
];

// A server loses power, and callers wait for it although the next one is idle.
describe('a request at a server that fell silent', () => {
  for (const { name, record, attempt, request, counts } of SILENCED_CASES) {
    it(`counts ${counts.join(' and ')}: ${name}`, () => {
      const { silenced } = tallySilence({
        ...RECORD,
        standstills: [],
        silentServers: [{ ...SILENT, requests: [{ ...SILENCED, ...request }] }],
        attempts: [{ ...STREAM, ...attempt }],
        ...record,
      });
      assert.deepEqual([silenced.count, silenced.answered], counts);
    });
  }
});
