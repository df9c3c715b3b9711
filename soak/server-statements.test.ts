import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { PASS_THROUGH_EVENTS } from '../src/core/pass-through';
import { RELAY_NODE_EVENTS } from '../src/core/relay-node/events';
import type { LogLine } from './log-lines';
import { checkStatements } from './server-statements';
import type { LinkCut, ServerStatement } from './types';

const SERVER = 's-1@1';
const DEPARTURE: ServerStatement = {
  kind: 'departure',
  requestId: 'r-0',
  server: SERVER,
  atMs: 1_000,
};
const CUT: LinkCut = { instance: 0, mode: 'hang', fromMs: 0, toMs: 0 };
const PAUSE: ServerStatement = { ...DEPARTURE, kind: 'pause', waitMs: 3_000 };

function line(event: number, atMs: number, requestId = '', to = ''): LogLine {
  return { event, timestamp: new Date(atMs).toISOString(), requestId, to };
}

const started = (atMs: number) => line(RELAY_NODE_EVENTS.started.id, atMs);
const placed = (atMs: number, to = SERVER) =>
  line(PASS_THROUGH_EVENTS.placed.id, atMs, `r-${atMs}`, to);
/** The process has had the answer with the statement. */
const ANSWERED = [started(0), line(PASS_THROUGH_EVENTS.answered.id, 1_010, 'r-0', SERVER)];

/** Guards against a check of statements that passes whatever instances send. */
describe('the check of statements in a soak', () => {
  const cases: readonly {
    readonly name: string;
    readonly statement: ServerStatement;
    readonly log: readonly LogLine[];
    readonly broken: number;
    readonly cuts?: readonly LinkCut[];
  }[] = [
    { name: 'a departure', statement: DEPARTURE, log: [...ANSWERED, placed(1_200)], broken: 1 },
    { name: 'one of many', statement: DEPARTURE, log: [...ANSWERED, placed(1_050)], broken: 0 },
    {
      name: 'another server',
      statement: DEPARTURE,
      log: [...ANSWERED, placed(1_200, 's-2@1')],
      broken: 0,
    },
    {
      name: 'a new process',
      statement: DEPARTURE,
      log: [...ANSWERED, started(1_100), placed(1_200)],
      broken: 0,
    },
    { name: 'no answer', statement: DEPARTURE, log: [started(0), placed(1_200)], broken: 0 },
    {
      name: 'an answer that a cut held back',
      statement: DEPARTURE,
      log: [...ANSWERED, placed(1_200)],
      cuts: [{ ...CUT, fromMs: 900, toMs: 1_005 }],
      broken: 0,
    },
    {
      name: 'cuts before, after, and of another instance',
      statement: DEPARTURE,
      log: [...ANSWERED, placed(1_200)],
      cuts: [
        { ...CUT, fromMs: 900, toMs: 950 },
        { ...CUT, fromMs: 1_100, toMs: 1_300 },
        { ...CUT, instance: 1, fromMs: 900, toMs: 1_300 },
      ],
      broken: 1,
    },
    {
      name: 'three in a pause',
      statement: PAUSE,
      log: [...ANSWERED, placed(1_600), placed(2_000), placed(3_900)],
      broken: 1,
    },
    {
      name: 'two in a pause',
      statement: PAUSE,
      log: [...ANSWERED, placed(1_100), placed(1_600), placed(3_900), placed(4_100)],
      broken: 0,
    },
  ];
  for (const { name, statement, log, broken, cuts = [] } of cases) {
    it(`finds ${broken} broken: ${name}`, () => {
      assert.equal(checkStatements([statement], [log], cuts).length, broken);
    });
  }
});
