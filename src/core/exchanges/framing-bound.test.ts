import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { EndlessBytes } from '../outcomes';
import { MAX_FRAMING_BYTES, MAX_REST_BYTES, createFramingBound } from './framing-bound';
import type { FramingBound } from './framing-bound';

const TOO_MANY = MAX_FRAMING_BYTES + 1;

describe('the bound of bytes without progress', () => {
  const cases: readonly {
    readonly name: string;
    readonly record: (bound: FramingBound) => void;
    readonly readBytes: number;
    readonly found: EndlessBytes | undefined;
  }[] = [
    {
      name: 'passes as many as are allowed',
      record: (bound) => bound.recordRequest(0),
      readBytes: MAX_FRAMING_BYTES,
      found: undefined,
    },
    {
      name: 'finds empty lines after a request, not counting what came before it',
      record: (bound) => bound.recordRequest(1_000),
      readBytes: 1_000 + TOO_MANY,
      found: { shape: 'emptyLines', bytes: TOO_MANY },
    },
    {
      name: 'finds a head without end',
      record(bound) {
        bound.recordRequest(0);
        bound.recordHeadBegin();
      },
      readBytes: TOO_MANY,
      found: { shape: 'head', bytes: TOO_MANY },
    },
    {
      name: 'finds interim answers, which are no progress',
      record(bound) {
        bound.recordRequest(0);
        bound.recordHeadBegin();
        bound.recordInterimAnswer();
      },
      readBytes: TOO_MANY,
      found: { shape: 'interimAnswers', bytes: TOO_MANY },
    },
    {
      name: 'counts anew from each byte of the body',
      record(bound) {
        bound.recordRequest(0);
        bound.recordHead(100);
        bound.recordBody(900_000);
      },
      readBytes: 900_000 + MAX_FRAMING_BYTES,
      found: undefined,
    },
    {
      name: 'finds framing after the last byte of the body',
      record(bound) {
        bound.recordRequest(0);
        bound.recordHead(100);
        bound.recordBody(200);
      },
      readBytes: 200 + TOO_MANY,
      found: { shape: 'chunkFraming', bytes: TOO_MANY },
    },
    {
      name: 'counts what was given back because of a pause only once it is read again',
      record(bound) {
        bound.recordRequest(0);
        bound.recordHead(100);
        bound.recordBody(60_000);
        bound.findEndless(20_000);
      },
      readBytes: 20_000 + TOO_MANY,
      found: { shape: 'chunkFraming', bytes: TOO_MANY },
    },
    {
      name: 'takes the body for no progress once it is discarded, within a bound of its own',
      record(bound) {
        bound.recordRequest(0);
        bound.recordHead(100);
        bound.recordDiscard(100);
        bound.recordBody(200);
      },
      readBytes: 100 + MAX_REST_BYTES + 1,
      found: { shape: 'answerBody', bytes: MAX_REST_BYTES + 1 },
    },
    {
      name: 'finds empty lines on an idle connection',
      record(bound) {
        bound.recordRequest(0);
        bound.recordHead(100);
        bound.recordEnd(200);
      },
      readBytes: 200 + TOO_MANY,
      found: { shape: 'emptyLines', bytes: TOO_MANY },
    },
  ];
  for (const { name, record, readBytes, found } of cases) {
    it(name, () => {
      const bound = createFramingBound();
      record(bound);
      assert.deepEqual(bound.findEndless(readBytes), found);
    });
  }
});
