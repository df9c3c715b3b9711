import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { listStatuses, serverListSchema } from './read-server-list';
import { checkedServer } from './testing/checked-server';

const server = checkedServer('engine-1', '10.0.0.1:8000');

const entry = (change: object = {}, checks: object[] = []) => ({
  Node: { Address: '10.0.0.1' },
  Service: { ID: 'engine-1', Address: '', Port: 8000, CreateIndex: 5, ...change },
  Checks: checks,
});

const maintenance = { CheckID: '_service_maintenance:engine-1', Status: 'critical' };
const failing = { CheckID: 'service:engine-1', Status: 'critical' };

const cases = [
  { name: 'listed', list: [entry()], expected: 'passing' },
  { name: 'not listed', list: [], expected: 'missing' },
  { name: 'listed under another address', list: [entry({ Port: 8001 })], expected: 'missing' },
  { name: 'failing', list: [entry({}, [failing])], expected: 'failing' },
  { name: 'in maintenance', list: [entry({}, [failing, maintenance])], expected: 'leaving' },
  { name: 'marked as leaving', list: [entry({ Meta: { leaving: 'true' } })], expected: 'leaving' },
  {
    name: 'registered again beside an old entry that is leaving',
    list: [entry({ CreateIndex: 9 }), entry({ Meta: { leaving: 'true' } })],
    expected: 'passing',
  },
] as const;

describe('the status of a server in the platform’s list', () => {
  for (const { name, list, expected } of cases) {
    it(`${name}: ${expected}`, () => {
      const statuses = listStatuses(serverListSchema.parse(list), [server]);
      assert.equal(statuses.get('engine-1'), expected);
    });
  }
});
