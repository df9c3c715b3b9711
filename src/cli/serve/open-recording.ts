import { createWriteStream } from 'node:fs';
import type { DecisionRecorder, TraceLine } from '../../core/decision-trace';

/** Instances have no disks: the default place of a recording is standard output, beside the log. */
const STANDARD_OUTPUT = '-';

/**
 * Opens a recording at `path`. Lines are dropped while the reader does not keep up: a recording that made
 * requests wait would change the decisions that it records. The count of lines dropped is said in a header line,
 * since a replay of what comes after cannot be held to its outcomes.
 */
export function openRecording(path: string, instanceId: string): DecisionRecorder {
  const stream = path === STANDARD_OUTPUT ? process.stdout : createWriteStream(path);
  let mayWrite = true;
  let dropped = 0;

  const write = (line: TraceLine): void => {
    mayWrite = stream.write(`${JSON.stringify(line)}\n`);
  };
  const begin = (about: string): void => write({ kind: 'header', format: 1, instanceId, about });

  stream.on('drain', () => {
    mayWrite = true;
    if (dropped === 0) return;
    begin(`${dropped} lines were dropped here`);
    dropped = 0;
  });
  begin('recorded by serve');
  return (line) => {
    if (mayWrite) write(line);
    else dropped += 1;
  };
}
