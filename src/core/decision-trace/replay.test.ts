import assert from 'node:assert/strict';
import { readFileSync, readdirSync } from 'node:fs';
import { describe, it } from 'node:test';
import { replayTrace } from './replay';
import { traceLineSchema } from './schema';
import type { TraceLine } from './schema';

const TRACES = 'traces';
const files = readdirSync(TRACES).filter((file) => file.endsWith('.jsonl'));
const textOf = (file: string) => readFileSync(`${TRACES}/${file}`, 'utf8');
const linesOf = (file: string): TraceLine[] =>
  textOf(file)
    .trimEnd()
    .split('\n')
    .map((line) => traceLineSchema.parse(JSON.parse(line)));

describe('recorded decisions', () => {
  for (const file of files) {
    it(`of ${file} come out as stated`, () => {
      const { decisions, differences } = replayTrace(textOf(file));
      assert.deepEqual(differences, []);
      assert.ok(decisions > 5);
    });
  }

  it('state what their page says of each case', () => {
    const retries = linesOf('server-drops-connections.jsonl').filter(
      ({ kind }) => kind === 'retry',
    );
    assert.equal(retries.length, 8);
    for (const line of retries) assert.ok(line.kind === 'retry' && line.outcome.kind === 'retry');

    const verdicts = linesOf('poison-request.jsonl').flatMap((line) =>
      line.kind === 'poison' ? [line.outcome] : [],
    );
    assert.deepEqual([...new Set(verdicts)], ['suspect', 'refused']);
    assert.equal(verdicts.at(-1), 'refused');

    const ejections = linesOf('slow-engine.jsonl').flatMap((line) =>
      line.kind === 'serverTry' ? line.outcome : [],
    );
    assert.deepEqual([...new Set(ejections.map(({ serverId }) => serverId))], ['engine-windhoek']);

    const admitted = linesOf('caller-over-limit.jsonl').filter(
      (line) => line.kind === 'callerLimit' && line.outcome.decision.kind === 'admit',
    );
    assert.ok(admitted.length >= 15 && admitted.length <= 20, `${admitted.length} admitted`);
  });
});

// Someone changes a decision without meaning to change what callers get. The replay must say so, with the line
// at which it first shows, and must not stop at it.
describe('a recording whose stated outcome is not what is decided', () => {
  it('is reported with its line', () => {
    const text = textOf('server-drops-connections.jsonl');
    const changed = text.replace('"reason":"may have run"', '"reason":"did not run"');
    assert.notEqual(changed, text);
    const { differences } = replayTrace(changed);
    assert.equal(differences.length, 1);
    assert.equal(differences[0]?.kind, 'retry');
    assert.match(text.split('\n')[(differences[0]?.lineNumber ?? 0) - 1] ?? '', /may have run/);
  });

  it('is reported when a decision draws more chance than was recorded', () => {
    const text = textOf('server-drops-connections.jsonl');
    const changed = text.replace(/("kind":"retry".*)"draws":\[[^\]]+\]/, '$1"draws":[]');
    assert.notEqual(changed, text);
    assert.equal(replayTrace(changed).differences.length, 1);
  });

  it('may stand among lines of the log', () => {
    const text = `{"event":100}\n${textOf('poison-request.jsonl')}`;
    assert.deepEqual(replayTrace(text).differences, []);
  });
});
