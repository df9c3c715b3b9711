import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { needsDetour } from './needs-detour';
import type { DetourFacts } from './needs-detour';

const SOUND: DetourFacts = {
  isCut: false,
  triedUnreachable: 0,
  hasReachableServer: true,
  hasUnreachableServer: false,
};

const CASES: readonly { name: string; facts: Partial<DetourFacts>; expected: boolean }[] = [
  { name: 'stays while servers are reached', facts: {}, expected: false },
  { name: 'leaves if the links are cut', facts: { isCut: true }, expected: true },
  {
    name: 'is tried at another server if one can not be reached',
    facts: { triedUnreachable: 1, hasUnreachableServer: true },
    expected: false,
  },
  {
    name: 'leaves if two can not be reached',
    facts: { triedUnreachable: 2, hasUnreachableServer: true },
    expected: true,
  },
  {
    name: 'leaves if the only servers left can not be reached',
    facts: { hasReachableServer: false, hasUnreachableServer: true },
    expected: true,
  },
  {
    name: 'stays if servers are merely full',
    facts: { hasReachableServer: false },
    expected: false,
  },
];

// Guards against refusing callers after connections that fail, although other instances reach the servers.
describe('a request at an instance without links to some servers', () => {
  for (const { name, facts, expected } of CASES) {
    it(name, () => assert.equal(needsDetour({ ...SOUND, ...facts }), expected));
  }
});
