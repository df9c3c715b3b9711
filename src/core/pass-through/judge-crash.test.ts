import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { judgeCrash } from './judge-crash';
import type { CrashFacts, CrashVerdict } from './judge-crash';

const UNREACHABLE: CrashFacts = {
  wasLeaving: false,
  check: 'unanswered',
  controls: [],
  entry: { kind: 'present' },
  waitedMs: 0,
};
const NOT_CRASHED: CrashVerdict = { kind: 'notCrashed' };
const UNDECIDED: CrashVerdict = { kind: 'undecided' };

interface Case {
  readonly name: string;
  readonly facts: Partial<CrashFacts>;
  readonly verdict: CrashVerdict;
}

const CASES: readonly Case[] = [
  { name: 'did not if it answers', facts: { check: 'answered' }, verdict: NOT_CRASHED },
  {
    name: 'did not if it answers, although its entry is missing',
    facts: { check: 'answered', entry: { kind: 'missing', forMs: 9_000 } },
    verdict: NOT_CRASHED,
  },
  {
    name: 'did if another one answers at its address',
    facts: { check: 'replaced' },
    verdict: { kind: 'crashed', evidence: 'replaced' },
  },
  {
    name: 'did if others are reached and it alone is not',
    facts: { controls: ['unanswered', 'answered'] },
    verdict: { kind: 'crashed', evidence: 'aloneUnreachable' },
  },
  {
    name: 'may have if no other server is reached either',
    facts: { controls: ['unanswered', 'unanswered'] },
    verdict: UNDECIDED,
  },
  { name: 'may have if there is no other server', facts: {}, verdict: UNDECIDED },
  {
    name: 'may have if it accepts connections and is silent, although others are reached',
    facts: { check: 'silent', controls: ['answered'], aloneSilentForMs: 7_900, waitedMs: 7_900 },
    verdict: UNDECIDED,
  },
  {
    name: 'may have if no connection to it is made in time, although others are reached',
    facts: { check: 'notConnected', controls: ['answered'], aloneSilentForMs: 2_000 },
    verdict: UNDECIDED,
  },
  {
    name: 'may have if it is refused and others are silent',
    facts: { controls: ['silent', 'notConnected'] },
    verdict: UNDECIDED,
  },
  {
    name: 'did if it alone stays silent for longer than servers stand still',
    facts: { check: 'silent', controls: ['answered'], aloneSilentForMs: 8_000, waitedMs: 8_000 },
    verdict: { kind: 'crashed', evidence: 'aloneSilent' },
  },
  {
    name: 'did if it is silent and its entry stays missing',
    facts: { check: 'silent', entry: { kind: 'missing', forMs: 2_000 } },
    verdict: { kind: 'crashed', evidence: 'entryGone' },
  },
  {
    name: 'did if it has started again',
    facts: { controls: ['unanswered'], entry: { kind: 'superseded' } },
    verdict: { kind: 'crashed', evidence: 'superseded' },
  },
  {
    name: 'may have if its entry has been missing for a moment',
    facts: { entry: { kind: 'missing', forMs: 1_900 } },
    verdict: UNDECIDED,
  },
  {
    name: 'did if its entry stays missing',
    facts: { entry: { kind: 'missing', forMs: 2_000 } },
    verdict: { kind: 'crashed', evidence: 'entryGone' },
  },
  {
    name: 'did not if nothing shows it for ten seconds',
    facts: { controls: ['unanswered'], waitedMs: 10_000 },
    verdict: NOT_CRASHED,
  },
  {
    name: 'did not if it was leaving, although others are reached',
    facts: { wasLeaving: true, controls: ['answered'] },
    verdict: NOT_CRASHED,
  },
];

// Guards against harmless requests that are refused as the cause of crashes, because the links of an instance to servers
// were cut and nothing answered it.
describe('a server that broke a connection', () => {
  for (const { name, facts, verdict } of CASES) {
    it(name, () => assert.deepEqual(judgeCrash({ ...UNREACHABLE, ...facts }), verdict));
  }
});
