import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { NODE_EVENTS } from '../../core/node';
import { waitFor } from '../../testing';
import { startServeProcess } from '../../testing/serve-process';

describe('the process', () => {
  // An operator cannot wait for a long answer and signals again. The process must go at once, and the log must
  // say what that cost, since the callers that were cut are told nothing.
  it('ends at the second signal and says how many requests it cut', async () => {
    await using serving = await startServeProcess();
    const { child, engine, lineOf } = serving;
    Object.assign(engine.behaviour, { answerTokens: Infinity, tokenIntervalMs: 20 });
    const open = await serving.ask();
    const cut = assert.rejects(open.body.text());
    child.kill('SIGTERM');
    await waitFor(() => lineOf(NODE_EVENTS.stopping.id) !== undefined, 'the first signal');
    child.kill('SIGTERM');
    assert.equal(await serving.ended, 1);
    await cut;
    assert.equal(lineOf(NODE_EVENTS.cutShort.id)?.callerRequests, 1);
  });

  // Something on the machine sends every service the signal to reload. Requests that are open must go on.
  it('goes on when it is asked to reload, and says that it does not', async () => {
    await using serving = await startServeProcess();
    const { child, lineOf } = serving;
    child.kill('SIGHUP');
    await waitFor(() => lineOf(NODE_EVENTS.reloadAsked.id) !== undefined, 'the line');
    const answer = await serving.ask();
    assert.equal(answer.statusCode, 200);
    await answer.body.dump();
    child.kill('SIGTERM');
    assert.equal(await serving.ended, 0);
  });

  // Somebody tunes the environment of all machines for another program. The calls that io_uring makes are
  // forbidden here, and the process would be ended in the middle of its work.
  it('does not start where the environment turns io_uring on', async () => {
    await using serving = await startServeProcess({ UV_USE_IO_URING: '1' });
    assert.notEqual(await serving.ended, 0);
    assert.equal(serving.lineOf(NODE_EVENTS.started.id), undefined);
  });
});
