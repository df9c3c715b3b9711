import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { EVENT_CATALOGUE } from './catalogue';

describe('the catalogue of events', () => {
  it('gives each event a number and a name of its own', () => {
    const ids = new Set(EVENT_CATALOGUE.map((event) => event.id));
    const names = new Set(EVENT_CATALOGUE.map((event) => event.name));
    assert.equal(ids.size, EVENT_CATALOGUE.length);
    assert.equal(names.size, EVENT_CATALOGUE.length);
  });

  it('tells an operator what to do about every warning and error', () => {
    const silent = EVENT_CATALOGUE.filter(
      (event) => (event.level === 'warn' || event.level === 'error') && event.action.length < 10,
    );
    assert.deepEqual(silent, []);
  });
});
