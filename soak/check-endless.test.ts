import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { PASS_THROUGH_EVENTS } from '../src/core/pass-through';
import { checkEndless } from './check-endless';
import type { EndlessRecord } from './check-endless';
import type { CallerAttempt, EndlessRead, ServerRun } from './types';

const SENT_MS = 10_000;
const SOUND = 's-2@1';
const ENDLESS = 's-1@1';
const REQUEST_ID = 'r-1';

const REFUSED: CallerAttempt = {
  requestId: REQUEST_ID,
  address: '0',
  atMs: SENT_MS,
  endedAtMs: SENT_MS + 500,
  hasLeft: false,
  kind: 'nonIdempotent',
  isResumable: false,
  isBoundToRegion: false,
  maxAttempts: 1,
  key: 'k-farm',
  status: 502,
  isWhole: true,
  isSigned: false,
  body: '',
};
const LATE = { ...REFUSED, hasLeft: true, status: undefined, endedAtMs: SENT_MS + 6_000 };
const RUN: ServerRun = {
  requestId: REQUEST_ID,
  serverId: 's-2',
  server: SOUND,
  atMs: SENT_MS + 10,
  account: 'farm',
  sawKey: false,
};
const READ: EndlessRead = {
  requestId: REQUEST_ID,
  server: ENDLESS,
  atMs: SENT_MS + 10,
  shape: 'event',
  isOpen: false,
};
const FOUND = {
  event: PASS_THROUGH_EVENTS.endlessAnswer.id,
  timestamp: '',
  requestId: REQUEST_ID,
  shape: 'partialEvent',
  bytes: 16 * 1_048_576,
};
const RECORD: EndlessRecord = {
  attempts: [REFUSED],
  runs: [RUN],
  endlessTimes: [{ server: ENDLESS, fromMs: SENT_MS - 100, toMs: SENT_MS + 100 }],
  endlessReads: [],
  logs: [],
  failedAnswers: [],
  servingTimes: [
    { server: SOUND, region: 'region-0', softwareVersion: 'v1', fromMs: 0, toMs: Infinity },
  ],
  interruptions: [],
  unexpectedEnds: [],
  instancesOf: () => [0],
};
const BEFORE = [{ server: ENDLESS, fromMs: 0, toMs: SENT_MS - 1 }];
const INTERRUPTION = { instance: 0, fromMs: SENT_MS + 100, toMs: SENT_MS + 200 };
const FAILURE = { requestId: REQUEST_ID, server: SOUND, atMs: SENT_MS, kind: 'failure' } as const;

const CASES: readonly (Partial<EndlessRecord> & {
  readonly name: string;
  readonly broken: readonly string[];
})[] = [
  { name: 'a refusal at a sound server', broken: ['struckByEndless'] },
  { name: 'a refusal before servers answered without end', endlessTimes: BEFORE, broken: [] },
  { name: 'a refusal at a server that answered without end', endlessReads: [READ], broken: [] },
  { name: 'a refusal after a failure', failedAnswers: [FAILURE], broken: [] },
  { name: 'a refusal at a server that took no requests', servingTimes: [], broken: [] },
  { name: 'a refusal by an instance that was stopped', interruptions: [INTERRUPTION], broken: [] },
  { name: 'an answer', attempts: [{ ...REFUSED, status: 200 }], broken: [] },
  {
    name: 'an answer that is cut',
    attempts: [{ ...REFUSED, status: 200, isWhole: false }],
    broken: ['struckByEndless'],
  },
  { name: 'neither an answer nor a refusal', attempts: [LATE], broken: ['lateInEndless'] },
  {
    name: 'the same by an instance that was stopped',
    attempts: [LATE],
    interruptions: [INTERRUPTION],
    broken: [],
  },
  {
    name: 'a refusal just after the deadline',
    attempts: [{ ...REFUSED, status: 503, endedAtMs: SENT_MS + 4_900 }],
    broken: [],
  },
  {
    name: 'a connection that is kept open',
    endlessReads: [{ ...READ, isOpen: true }],
    broken: ['endlessKeptOpen'],
  },
  {
    name: 'an answer that is read too far',
    attempts: [],
    logs: [[FOUND], [{ ...FOUND, bytes: 18 * 1_048_576 }]],
    broken: ['endlessReadTooFar'],
  },
  {
    name: 'an instance that ended by itself',
    attempts: [],
    unexpectedEnds: [{ instance: 0, atMs: SENT_MS, how: 'SIGABRT' }],
    broken: ['instanceEnded'],
  },
];

describe('the check of answers without end', () => {
  for (const { name, broken, ...record } of CASES) {
    it(`finds ${broken.length} broken: ${name}`, () => {
      const found = checkEndless({ ...RECORD, ...record }).map(({ promise }) => promise);
      assert.deepEqual(found, broken);
    });
  }
});
