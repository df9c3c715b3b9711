import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { readEventId } from './read-event-id';

// Guards against a stream that is resumed too early: the caller would get events twice.
describe('the id of an event', () => {
  for (const { event, id } of [
    { event: 'id: 7\ndata: a\n\n', id: '7' },
    { event: 'id:7\r\ndata: a\r\n\r\n', id: '7' },
    { event: 'id: 7\nid: 8\ndata: a\n\n', id: '8' },
    { event: 'data: id: 7\n\n', id: undefined },
  ]) {
    it(`is ${id} in ${JSON.stringify(event)}`, () => {
      assert.equal(readEventId(Buffer.from(event)), id);
    });
  }
});
