import fc from 'fast-check';
import type { Arbitrary } from 'fast-check';

/** Bytes that a server sends in place of its answer, in pieces, and how its connection goes on. */
export interface SpoiledAnswer {
  /** `ID` stands for the id of the request. */
  readonly pieces: readonly string[];
  readonly ending: 'open' | 'closed' | 'reset';
}

const VERSIONS = ['HTTP/1.1', 'HTTP/1.0', 'HTTP/2.0', 'HTTP/1.', 'http/1.1', ''];
const BODIES = ['', 'x', 'ran', 'id: 1\ndata: one\n\n', ': c\n\n', 'data: x'.repeat(40)];
const HEADERS = [
  'X-Request-Id: ID',
  'X-Request-Id: other',
  'X-Response-Signature: signed',
  'X-Not-Executed: 1',
  'Content-Type: text/event-stream',
  'Content-Type: text/plain',
  'Connection: close',
  'Connection: keep-alive',
  'Connection: upgrade',
  'Upgrade: h2c',
  'Keep-Alive: timeout=0',
  'Keep-Alive: timeout=1',
  'Keep-Alive: timeout=99999999999999999999',
  'Keep-Alive: max=1',
  'Transfer-Encoding: chunked',
  'Transfer-Encoding: gzip',
  'Content-Length: 0',
  'Content-Length: 3',
  'Content-Length: 99999999999999999999',
  'Content-Length: -1',
  'Content-Encoding: gzip',
  'Trailer: X-Last',
  'X-Empty:',
  ': no name',
  'no colon',
  ' folded: line',
  'X-Bytes: \u0001\u007f',
];

const status: Arbitrary<string> = fc.oneof(
  fc.integer({ min: 0, max: 999 }).map((number) => String(number).padStart(3, '0')),
  fc.constantFrom(
    '200',
    '200',
    '200',
    '000',
    '099',
    '100',
    '101',
    '103',
    '199',
    '204',
    '304',
    '500',
  ),
  fc.constantFrom('1000', '20', '2x0', '', '-01'),
);

const bodyOf = (text: string): Arbitrary<string> =>
  fc.constantFrom(
    text,
    `${text.length.toString(16)}\r\n${text}\r\n0\r\n\r\n`,
    `${text.length.toString(16)};extension\r\n${text}\r\n0\r\nX-Last: 1\r\nX-Empty:\r\n\r\n`,
    `${text.length.toString(16)}\r\n${text}\r\nzz\r\n`,
    `${(text.length + 5).toString(16)}\r\n${text}`,
  );

const oneAnswer: Arbitrary<string> = fc
  .record({
    version: fc.oneof(
      { weight: 9, arbitrary: fc.constant('HTTP/1.1') },
      fc.constantFrom(...VERSIONS),
    ),
    status,
    headers: fc.array(fc.constantFrom(...HEADERS), { maxLength: 6 }),
    body: fc.constantFrom(...BODIES).chain(bodyOf),
  })
  .map(({ version, status: number, headers, body }) =>
    [`${version} ${number} X`, ...headers, '', body].join('\r\n'),
  );

function cut(text: string, at: readonly number[]): readonly string[] {
  const places = [...new Set(at.map((place) => place % (text.length + 1)))].sort((a, b) => a - b);
  return [0, ...places].map((from, index) => text.slice(from, places[index])).filter(Boolean);
}

const spoiled: Arbitrary<SpoiledAnswer> = fc
  .record({
    answers: fc.array(oneAnswer, { minLength: 1, maxLength: 3 }),
    garbage: fc.constantFrom('', '', '', '\r\n\r\n', '\u0000\u00ff', 'GET / HTTP/1.1\r\n\r\n'),
    cuts: fc.array(fc.nat(), { maxLength: 4 }),
    ending: fc.constantFrom('open' as const, 'closed' as const, 'reset' as const),
  })
  .map(({ answers, garbage, cuts, ending }) => ({
    pieces: cut(`${answers.join('')}${garbage}`, cuts),
    ending,
  }));

/** Draws spoiled answers; the same ones for the same seed. */
export function drawSpoiledAnswers(seed: number, count: number): readonly SpoiledAnswer[] {
  return fc.sample(spoiled, { seed, numRuns: count });
}
