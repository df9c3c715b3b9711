import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createLengthCheck } from './length-check';

// Bytes of an answer are lost or added between a server and its caller, who takes what comes for the whole.
describe('the length of an answer', () => {
  const cases = [
    { name: 'as stated', method: 'GET', status: 200, stated: '4', chunks: [3, 1], whole: true },
    { name: 'not stated', method: 'GET', status: 200, stated: undefined, chunks: [9], whole: true },
    { name: 'too short', method: 'GET', status: 200, stated: '4', chunks: [3], whole: false },
    { name: 'too long', method: 'GET', status: 200, stated: '4', chunks: [3, 2], whole: false },
    { name: 'no number', method: 'GET', status: 200, stated: '4, 5', chunks: [4], whole: false },
    { name: 'of a HEAD answer', method: 'HEAD', status: 200, stated: '4', chunks: [], whole: true },
    { name: 'without a body', method: 'GET', status: 304, stated: '4', chunks: [], whole: true },
    {
      name: 'a body of none',
      method: 'GET',
      status: 204,
      stated: undefined,
      chunks: [1],
      whole: false,
    },
  ];
  for (const { name, method, status, stated, chunks, whole } of cases) {
    it(`is ${whole ? 'right' : 'noticed'} when it is ${name}`, () => {
      const headers = stated === undefined ? [] : [{ name: 'Content-Length', value: stated }];
      const check = createLengthCheck(method, status, headers);
      const problems = chunks.map((bytes) => check.addChunk(bytes));
      const problem = problems.find((one) => one !== undefined) ?? check.atEnd();
      assert.equal(problem === undefined, whole, problem);
    });
  }
});
