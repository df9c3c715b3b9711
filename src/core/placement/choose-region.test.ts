import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createSeededRandom } from '../random';
import { chooseRegion } from './choose-region';
import type { RegionOption } from './choose-region';

const SOUTH: RegionOption = { region: 'south', utilization: 0.2, room: 80 };
const FULL: RegionOption = { region: 'east', utilization: 0.75, room: 25 };
const QUEUING: RegionOption = { region: 'east', utilization: 1.2, room: 0 };
const OVERLOADED: RegionOption = { region: 'east', utilization: 1.5, room: 0 };

function nameOf(choice: ReturnType<typeof chooseRegion>): string {
  return choice.kind === 'remote' ? choice.region : choice.kind;
}

/** Guards against requests that are refused here while another region has room, or sent away without need. */
describe('the choice of a region by room', () => {
  const cases: {
    name: string;
    localFirstByteMs: number | undefined;
    isOverMaxWait?: boolean;
    others?: readonly RegionOption[];
    to: string;
  }[] = [
    { name: 'keeps a request that hardly waits', localFirstByteMs: 200, to: 'local' },
    {
      name: 'keeps a request at 0.6 of its objective',
      localFirstByteMs: 480,
      to: 'local',
    },
    {
      name: 'sends a request away that would need more of its objective here',
      localFirstByteMs: 481,
      to: 'south',
    },
    {
      name: 'sends a request away that would wait too long here for its priority',
      localFirstByteMs: 200,
      isOverMaxWait: true,
      to: 'south',
    },
    {
      name: 'keeps a request if the other region is at the bound with a local server',
      localFirstByteMs: 5_000,
      others: [FULL],
      to: 'local',
    },
    {
      name: 'uses a region that queues if no local server is usable',
      localFirstByteMs: undefined,
      others: [QUEUING],
      to: 'east',
    },
    {
      name: 'prefers a region with room if no local server is usable',
      localFirstByteMs: undefined,
      others: [QUEUING, SOUTH],
      to: 'south',
    },
    {
      name: 'uses no region at the bound without a local server',
      localFirstByteMs: undefined,
      others: [OVERLOADED],
      to: 'nowhere',
    },
    {
      name: 'uses no region if none is left',
      localFirstByteMs: undefined,
      others: [],
      to: 'nowhere',
    },
  ];
  for (const { name, localFirstByteMs, isOverMaxWait = false, others, to } of cases) {
    it(name, () => {
      const choice = chooseRegion({
        localFirstByteMs,
        objectiveMs: 800,
        isOverMaxWait,
        others: others ?? [SOUTH],
        draw: () => 0,
      });
      assert.equal(nameOf(choice), to);
    });
  }

  // All instances see the same reports. If all chose the least utilized region, it would get too many requests within the next second.
  it('draws regions in proportion to their room', () => {
    const random = createSeededRandom(3);
    const others = [
      { region: 'south', utilization: 0.1, room: 100 },
      { region: 'east', utilization: 0.6, room: 300 },
    ];
    const counts = new Map<string, number>();
    for (let draw = 0; draw < 4_000; draw += 1) {
      const choice = chooseRegion({
        isOverMaxWait: false,
        localFirstByteMs: 2_000,
        objectiveMs: 1_000,
        others,
        draw: () => random.next(),
      });
      counts.set(nameOf(choice), (counts.get(nameOf(choice)) ?? 0) + 1);
    }
    const east = (counts.get('east') ?? 0) / 4_000;
    assert.ok(east > 0.73 && east < 0.77, `east got ${east} instead of 0.75`);
    assert.deepEqual([...counts.keys()].sort(), ['east', 'south']);
  });
});
