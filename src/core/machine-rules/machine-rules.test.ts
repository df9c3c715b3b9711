import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { brokenMachineRules } from '.';

describe('the rules of the machines', () => {
  const cases = [
    { name: 'nothing set', environment: {}, broken: 0 },
    { name: 'io_uring off', environment: { UV_USE_IO_URING: '0' }, broken: 0 },
    { name: 'io_uring on', environment: { UV_USE_IO_URING: '1' }, broken: 1 },
    { name: 'io_uring on by another word', environment: { UV_USE_IO_URING: 'yes' }, broken: 1 },
  ];
  for (const { name, environment, broken } of cases) {
    it(`${name}: ${broken} broken`, () => {
      assert.equal(brokenMachineRules(environment).length, broken);
    });
  }
});
