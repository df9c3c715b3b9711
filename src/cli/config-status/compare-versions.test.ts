import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { MemberState } from '../../core/membership';
import type { InstanceStatus } from '../../core/operators';
import { compareVersions } from './compare-versions';

function member(instanceId: string, changes: Partial<MemberState>): MemberState {
  return {
    instanceId,
    incarnation: 1,
    sequence: 1,
    region: 'rundu',
    failureDomain: 'rundu-a',
    callerAddress: '',
    peerAddress: '',
    status: 'alive',
    configurationVersion: 7,
    inFlightRequests: 0,
    ...changes,
  };
}

function statusWith(members: readonly MemberState[]): InstanceStatus {
  return {
    instanceId: 'a',
    version: '0',
    region: 'rundu',
    failureDomain: 'rundu-a',
    ready: true,
    configurationVersion: 7,
    inFlightRequests: 0,
    members,
  };
}

describe('which instances lag behind the highest version', () => {
  it('takes the latest statement about each instance, whoever passed it on', () => {
    const rows = compareVersions([
      statusWith([member('a', {}), member('b', { configurationVersion: 6, sequence: 3 })]),
      statusWith([member('b', { configurationVersion: 7, sequence: 4 })]),
    ]);
    assert.deepEqual(
      rows.map(({ instanceId, version, lags }) => ({ instanceId, version, lags })),
      [
        { instanceId: 'a', version: 7, lags: false },
        { instanceId: 'b', version: 7, lags: false },
      ],
    );
  });

  it('names an instance that lags, and passes over dead ones', () => {
    const rows = compareVersions([
      statusWith([
        member('a', {}),
        member('b', { configurationVersion: 5 }),
        member('c', { configurationVersion: 9, status: 'dead' }),
      ]),
    ]);
    assert.deepEqual(
      rows.map(({ instanceId, lags }) => ({ instanceId, lags })),
      [
        { instanceId: 'a', lags: false },
        { instanceId: 'b', lags: true },
      ],
    );
  });
});
