import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { chooseServer } from './choose-server';
import { memorySlots } from './memory-slots';
import { candidate } from './testing/candidate';

const NONE = { requests: 0, tokens: 0 };
const OWN = { parts: [{ partId: 'own', tokens: 2_000 }], promptTokens: 2_000 };
const SHARED = {
  parts: [
    { partId: 'a', tokens: 4_000 },
    { partId: 'own', tokens: 2_000 },
  ],
  promptTokens: 6_000,
};

// A server whose memory is full queues requests although it has free slots. If it looks idle, they are late.
describe('the requests that fit into the memory of a server', () => {
  const cases = [
    {
      name: 'unknown without a stated memory',
      memory: undefined,
      demand: OWN,
      expected: undefined,
    },
    {
      name: 'unknown without a stated size',
      memory: 9_000,
      demand: undefined,
      expected: undefined,
    },
    {
      name: 'unknown for a request without tokens',
      memory: 9_000,
      demand: { parts: [], promptTokens: 0 },
      expected: undefined,
    },
    { name: 'those of the size of the request', memory: 20_000, demand: OWN, expected: 10 },
    {
      name: 'fewer with long answers',
      memory: 20_000,
      demand: { ...OWN, maxOutputTokens: 3_000 },
      expected: 4,
    },
    {
      name: 'those beside one copy of the shared parts',
      memory: 20_000,
      demand: SHARED,
      expected: 8,
    },
    {
      name: 'those of a request without parts',
      memory: 20_000,
      demand: { parts: [], promptTokens: 4_000 },
      expected: 5,
    },
    {
      name: 'those of the mean size of the open requests',
      memory: 20_000,
      demand: OWN,
      open: { requests: 3, tokens: 14_000 },
      expected: 5,
    },
    { name: 'at least one', memory: 1_000, demand: SHARED, expected: 1 },
  ];
  for (const { name, memory, demand, open = NONE, expected } of cases) {
    it(`are ${name}`, () => assert.equal(memorySlots(memory, demand, open), expected));
  }

  const speed = { prefillMsPerToken: 0.025, slotTimeMs: 1_000 };
  const choices = [
    { name: 'a busier server is chosen if the memory is full', memorySlots: 8, expected: 'busier' },
    { name: 'the server is chosen if the memory is not full', memorySlots: 60, expected: 'server' },
    { name: 'slots count if they are fewer', memorySlots: 1_000, expected: 'server' },
    { name: 'slots count if the memory is unknown', memorySlots: undefined, expected: 'server' },
  ];
  for (const { name, memorySlots: slots, expected } of choices) {
    it(name, () => {
      const candidates = [
        candidate('server', { load: 10, memorySlots: slots }),
        candidate('busier', { load: 12 }),
      ];
      assert.equal(chooseServer(candidates, speed)?.incarnationId, expected);
    });
  }
});
