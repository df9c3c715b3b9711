import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { RELAY_NODE_EVENTS } from '../src/core/relay-node/events';
import { STATE_SYNC_EVENTS } from '../src/core/state-sync';
import { judgeVersions } from './routes-in-force';

const started = JSON.stringify({ event: RELAY_NODE_EVENTS.started.id });
const inForce = (version: number) =>
  JSON.stringify({ event: STATE_SYNC_EVENTS.routesInForce.id, version });

/** Guards against a check that passes whatever instances log. */
describe('the versions that an instance had in force', () => {
  const cases = [
    { name: 'rise to the last one', lines: [started, inForce(3), inForce(5)], broken: [] },
    {
      name: 'go back in one life',
      lines: [started, inForce(5), inForce(4), inForce(5)],
      broken: ['routesWentBack'],
    },
    {
      name: 'begin lower in the next life',
      lines: [started, inForce(5), started, inForce(4), inForce(5)],
      broken: [],
    },
    { name: 'end before the last one', lines: [started, inForce(4)], broken: ['routesBehind'] },
    { name: 'are none', lines: [started, 'no JSON'], broken: ['routesBehind'] },
    {
      name: 'are the last one twice, since it was written anew',
      lines: [started, inForce(5), inForce(5)],
      broken: [],
    },
  ];
  for (const { name, lines, broken } of cases) {
    it(`${broken.length === 0 ? 'are well' : 'are not well'} where they ${name}`, () => {
      const found = judgeVersions('instance-0', lines.join('\n'), 5);
      assert.deepEqual(
        found.map(({ promise }) => promise),
        broken,
      );
    });
  }
});
