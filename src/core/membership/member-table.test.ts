import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { memberKey } from './liveness-hash';
import { createMemberTable } from './member-table';
import type { LoadStatement, MemberRecord, ServiceRequests } from './types';

const MEMBER: MemberRecord = {
  instanceId: 'b-1',
  region: 'south',
  failureDomain: 'south-a',
  callerAddress: 'b-1:1',
  peerAddress: 'b-1:2',
  status: 'alive',
  incarnation: 1,
  life: 1,
  sequence: 0,
  processToken: 7,
  loadSequence: 0,
  inFlightRequests: 0,
  configurationVersion: 1,
  configurationDigest: 0,
  configurationSinceUnixMs: 0,
  configurationConfirmed: true,
  watching: false,
};

function statement(
  loadSequence: number,
  openRequestsByService: readonly ServiceRequests[] | undefined,
): LoadStatement {
  return {
    memberKey: memberKey(MEMBER),
    wide: true,
    loadSequence,
    inFlightRequests: 5,
    configurationVersion: 1,
    configurationDigest: 0,
    configurationSinceUnixMs: 0,
    configurationConfirmed: true,
    watching: false,
    openRequestsByService,
  };
}

describe('the open requests per service of a member', () => {
  const cases: { name: string; received: readonly LoadStatement[]; known: unknown }[] = [
    {
      name: 'are those of the last statement',
      received: [statement(1, [['chat', 5]]), statement(2, [['code', 3]])],
      known: [['code', 3]],
    },
    {
      name: 'stay if a statement arrives late',
      received: [statement(2, [['code', 3]]), statement(1, [['chat', 5]])],
      known: [['code', 3]],
    },
    {
      name: 'count once if a statement is repeated',
      received: [statement(1, [['chat', 5]]), statement(1, [['chat', 5]])],
      known: [['chat', 5]],
    },
    {
      // An older release would otherwise be rated by figures of the release that ran there before.
      name: 'are unknown after a newer statement without them',
      received: [statement(1, [['chat', 5]]), statement(2, undefined)],
      known: undefined,
    },
  ];
  for (const { name, received, known } of cases) {
    it(name, () => {
      const table = createMemberTable(() => {});
      table.applyRecord(MEMBER, undefined, 0);
      for (const load of received) table.applyLoad(load, undefined);
      assert.deepEqual(table.get('b-1')?.openRequestsByService, known);
    });
  }
});
