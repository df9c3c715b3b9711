import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { brokenMachineRules } from '.';

describe('machine rules', () => {
  const cases = [
    { name: 'nothing set', environment: {}, broken: 0 },
    { name: 'io_uring off', environment: { UV_USE_IO_URING: '0' }, broken: 0 },
    { name: 'io_uring on', environment: { UV_USE_IO_URING: '1' }, broken: 1 },
    { name: 'io_uring on with another value', environment: { UV_USE_IO_URING: 'yes' }, broken: 1 },
  ];
  for (const { name, environment, broken } of cases) {
    it(`${name}: reports ${broken} broken rules`, () => {
      assert.equal(brokenMachineRules(environment).length, broken);
    });
  }
});
