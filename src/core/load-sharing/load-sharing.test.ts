import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  createLoadBoard,
  createLoadTeller,
  createReadNotes,
  readStatement,
  writeStatement,
} from '.';
import type { LoadStatement, ServerShare } from '.';

const SHARE: ServerShare = { incarnationId: 's-1', inFlight: 3, pendingTokens: 9_000 };

function statement(from: string, servers: readonly ServerShare[]): LoadStatement {
  return { from, servers, read: [] };
}

describe('what the other instances have under way', () => {
  // Two instances have just sent long prompts to the same server. No report shows them yet; a third one that does not
  // hear of them sends its own there too, and callers wait for all three beside a server that reads nothing.
  it('adds up what each of them said last', () => {
    const board = createLoadBoard();
    board.take(statement('a', [SHARE]), 0);
    board.take(statement('b', [SHARE]), 0);
    board.take(statement('b', [{ ...SHARE, inFlight: 1, pendingTokens: 500 }]), 100);
    assert.equal(board.inFlight('s-1'), 4);
    assert.equal(board.pendingTokens('s-1'), 9_500);
    board.take(statement('a', []), 200);
    assert.equal(board.inFlight('s-1'), 1);
    assert.equal(board.inFlight('s-2'), 0);
  });

  // An instance loses power. Its requests are over, and counted on for ever they would keep work from the server.
  it('forgets those that have fallen silent', () => {
    const board = createLoadBoard();
    board.take(statement('a', [SHARE]), 0);
    board.take(statement('b', []), 1_900);
    board.dropOld(2_001);
    assert.equal(board.inFlight('s-1'), 0);
    assert.equal(board.heardOf(), 1);
  });
});

describe('telling the others', () => {
  function setUp(count: number) {
    const sent: { address: string; statement: LoadStatement | undefined }[] = [];
    let servers: readonly ServerShare[] = [SHARE];
    const read = createReadNotes();
    const teller = createLoadTeller({
      read,
      selfId: 'self',
      servers: () => servers,
      addresses: () => Array.from({ length: count }, (_, index) => `10.0.0.${index}:1`),
      send: (address, text) => sent.push({ address, statement: readStatement(text) }),
    });
    const setServers = (next: readonly ServerShare[]): void => {
      servers = next;
    };
    return { sent, teller, read, setServers };
  }

  it('says what was read once, and what is under way each time', () => {
    const { sent, teller, read } = setUp(1);
    read.note('s-1', ['q', 'p', 'q']);
    teller.tell(0);
    teller.tell(100);
    assert.deepEqual(sent[0]?.statement?.read, [{ incarnationId: 's-1', partIds: ['p', 'q'] }]);
    assert.deepEqual(sent[1]?.statement, statement('self', [SHARE]));
  });

  it('says once that nothing is under way any more, and then only that this instance lives', () => {
    const { sent, teller, setServers } = setUp(1);
    teller.tell(0);
    setServers([]);
    for (let nowMs = 100; nowMs <= 1_900; nowMs += 100) teller.tell(nowMs);
    assert.equal(sent.length, 4);
    assert.deepEqual(sent.at(-1)?.statement, statement('self', []));
  });

  // A region grows to several times its instances. Told at the same pace, each of them would spend as many times more
  // processor time on what the others say.
  const costs = [
    { others: 2, sentInTwoSeconds: 40 },
    { others: 4, sentInTwoSeconds: 80 },
    { others: 24, sentInTwoSeconds: 96 },
    { others: 80, sentInTwoSeconds: 80 },
  ];
  for (const { others, sentInTwoSeconds } of costs) {
    it(`costs no more than so many messages among ${others} others`, () => {
      const { sent, teller } = setUp(others);
      for (let nowMs = 0; nowMs < 2_000; nowMs += 50) teller.tell(nowMs);
      assert.equal(sent.length, sentInTwoSeconds);
    });
  }

  it('survives the way as text, and what is no statement is left out', () => {
    const told = { from: 'a', servers: [SHARE], read: [{ incarnationId: 's', partIds: ['p'] }] };
    assert.deepEqual(readStatement(writeStatement(told)), told);
    for (const text of [
      '',
      '{',
      '[]',
      '{"from":"a"}',
      '["",[],[]]',
      '["a",[{}],[]]',
      '["a",[["s"]],[]]',
    ]) {
      assert.equal(readStatement(text), undefined);
    }
  });
});
