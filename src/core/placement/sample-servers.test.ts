import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createSeededRandom } from '../random';
import { serverSampleSize, sampleServers } from './sample-servers';

describe('the sample size', () => {
  const cases = [
    { servers: 1, instances: 1, count: 3 },
    { servers: 40, instances: 1, count: 40 },
    { servers: 40, instances: 4, count: 10 },
    { servers: 40, instances: 20, count: 3 },
    { servers: 40, instances: 300, count: 3 },
    { servers: 8, instances: 0, count: 8 },
  ];
  for (const { servers, instances, count } of cases) {
    it(`is ${count} for one of ${instances} instances with ${servers} servers`, () => {
      assert.equal(serverSampleSize(servers, instances), count);
    });
  }
});

describe('a sample of servers', () => {
  const servers = ['n-1', 'n-2', 'n-3', 'n-4', 'n-5'];
  const cases = [
    { count: 0, size: 0 },
    { count: 3, size: 3 },
    { count: 5, size: 5 },
    { count: 9, size: 5 },
  ];
  for (const { count, size } of cases) {
    it(`of ${count} of five servers has ${size} distinct servers`, () => {
      const sample = sampleServers(servers, count, createSeededRandom(1).next);
      assert.equal(sample.length, size);
      assert.equal(new Set(sample).size, size);
      assert.ok(sample.every((server) => servers.includes(server)));
    });
  }

  it('contains each server about equally often', () => {
    const random = createSeededRandom(1);
    const counts = new Map(servers.map((server) => [server, 0]));
    for (let drawn = 0; drawn < 5_000; drawn += 1) {
      for (const server of sampleServers(servers, 3, random.next)) {
        counts.set(server, (counts.get(server) ?? 0) + 1);
      }
    }
    for (const count of counts.values()) assert.ok(Math.abs(count - 3_000) < 150, `${count}`);
  });
});
