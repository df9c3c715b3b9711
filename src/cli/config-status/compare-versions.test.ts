import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { MemberRecord } from '../../core/membership';
import type { InstanceStatus } from '../../core/operators';
import { compareVersions } from './compare-versions';

function member(instanceId: string, changes: Partial<MemberRecord>): MemberRecord {
  return {
    instanceId,
    incarnation: 1,
    life: 1,
    processToken: 1,
    sequence: 1,
    loadSequence: 1,
    region: 'rundu',
    failureDomain: 'rundu-a',
    callerAddress: '',
    peerAddress: '',
    status: 'alive',
    configurationVersion: 7,
    configurationDigest: 70,
    configurationSinceUnixMs: 0,
    configurationConfirmed: true,
    watching: false,
    inFlightRequests: 0,
    ...changes,
  };
}

function statusWith(members: readonly MemberRecord[]): InstanceStatus {
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

describe('the version on each instance, asked of several', () => {
  it('takes the latest statement about each instance, whoever passed it on', () => {
    const status = compareVersions([
      statusWith([member('a', {}), member('b', { configurationVersion: 6, loadSequence: 3 })]),
      statusWith([member('b', { configurationVersion: 7, loadSequence: 4 })]),
    ]);
    assert.deepEqual(status.lagging, []);
    assert.equal(status.highestVersion, 7);
  });

  it('goes by the new life of an instance that was replaced', () => {
    const status = compareVersions([
      statusWith([member('a', {}), member('b', { life: 2, configurationVersion: 5 })]),
      statusWith([member('b', { life: 1, loadSequence: 900 })]),
    ]);
    assert.deepEqual(status.lagging, ['b']);
  });

  it('names instances that have another content under the highest number', () => {
    const status = compareVersions([
      statusWith([member('a', {}), member('b', {}), member('c', { configurationDigest: 71 })]),
    ]);
    assert.deepEqual(status.conflicting, ['c']);
  });
});
