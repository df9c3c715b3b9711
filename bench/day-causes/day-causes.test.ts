import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { PASS_THROUGH_EVENTS } from '../../src/core/pass-through/events';
import { judgeRequest } from './judge-request';
import { readRequests } from './read-log';
import { readRefusalGrounds } from './refusal-grounds';

const { placed, answered, refused, callerGone } = PASS_THROUGH_EVENTS;

function line(atS: number, instance: string, fields: object): string {
  const event = { requestId: 'r-1', region: 'north', ...fields };
  return `   ${atS.toFixed(4)} ${instance} ${JSON.stringify(event)}`;
}

const SENT = { event: placed.id, promptTokens: 9_000, predictedMs: 300, to: 's-1' };
const ANSWER = {
  event: answered.id,
  status: 200,
  events: 12,
  firstByteMs: 400,
  totalMs: 2_000,
  longestPauseMs: 90,
  objectiveMs: 1_200,
  pauseObjectiveMs: 400,
};

describe('the cause of what became of a request', () => {
  const cases = [
    { lines: [SENT, ANSWER], cause: 'in time' },
    { lines: [SENT, { ...ANSWER, longestPauseMs: 401 }], cause: 'pause between events' },
    { lines: [SENT, { ...ANSWER, firstByteMs: 1_300 }], cause: 'first byte late, not predicted' },
    {
      lines: [
        { ...SENT, predictedMs: 1_250 },
        { ...ANSWER, firstByteMs: 1_300 },
      ],
      cause: 'first byte late, as predicted',
    },
    {
      lines: [
        { event: placed.id, to: 'b-1', toRegion: 'south' },
        { ...ANSWER, firstByteMs: 1_300 },
      ],
      cause: 'first byte late, sent to another region',
    },
    { lines: [SENT, { ...ANSWER, status: 500, events: 0 }], cause: 'answered with a failure' },
    { lines: [{ event: refused.id, reason: 'overloaded' }], cause: 'refused: overloaded' },
    {
      lines: [
        { event: placed.id, to: 'b-1', toRegion: 'south' },
        { event: refused.id, reason: 'overloaded' },
      ],
      cause: 'refused: overloaded after another region refused',
    },
    { lines: [{ event: refused.id, reason: 'noServer' }], cause: 'refused: no server' },
    {
      lines: [{ event: refused.id, reason: 'instanceBehind' }],
      cause: 'refused: instance behind',
    },
    { lines: [SENT, { event: callerGone.id }], cause: 'caller left' },
    { lines: [SENT], cause: 'no end in the log' },
  ] as const;
  for (const { lines, cause } of cases) {
    it(`is «${cause}» after ${lines.length} such lines`, () => {
      const text = lines.map((fields, index) => line(index, 'a-1', fields)).join('\n');
      const [request = []] = readRequests(`seen\n- something else\n${text}\n`).values();
      assert.equal(judgeRequest(request)?.cause, cause);
    });
  }

  // A request that went to another region has lines of two instances; its caller saw only what the first one did.
  it('is what the instance that the caller asked saw', () => {
    const text = [
      line(1, 'a-1', { event: placed.id, to: 'b-1', toRegion: 'south' }),
      line(1.1, 'b-1', SENT),
      line(2, 'b-1', { ...ANSWER, firstByteMs: 1_000 }),
      line(2.1, 'a-1', { ...ANSWER, firstByteMs: 1_250 }),
    ].join('\n');
    const [request = []] = readRequests(text).values();
    assert.equal(judgeRequest(request)?.cause, 'first byte late, sent to another region');
    assert.equal(judgeRequest(request)?.size, 'long prompt');
  });
});

describe('the grounds of a refusal as overloaded', () => {
  const overloaded = { event: refused.id, reason: 'overloaded' };
  const bound = { exceeded: 'wait', largestPart: 'latenessMs' };
  const cases = [
    {
      fields: { ...overloaded, ...bound, idleServers: 2 },
      expected: { ground: 'wait, most of it latenessMs', room: 'servers idle here' },
    },
    {
      fields: { ...overloaded, ...bound, idleServers: 0, freeSlotsElsewhere: 3 },
      expected: { ground: 'wait, most of it latenessMs', room: 'slots free elsewhere' },
    },
    {
      fields: { ...overloaded, absence: 'noConnection', idleServers: 0 },
      expected: { ground: 'no server: noConnection', room: 'no room known' },
    },
    { fields: overloaded, expected: { ground: 'none stated', room: 'no room known' } },
    { fields: { ...overloaded, reason: 'noServer' }, expected: undefined },
  ] as const;
  for (const { fields, expected } of cases) {
    it(`are ${JSON.stringify(expected)} by ${JSON.stringify(fields)}`, () => {
      const [lines = []] = readRequests(line(1, 'a-1', fields)).values();
      assert.deepEqual(readRefusalGrounds(lines), expected === undefined ? [] : [expected]);
    });
  }
});
