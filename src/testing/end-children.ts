import type { ChildProcess } from 'node:child_process';
import process from 'node:process';

const ENDING_SIGNALS = ['SIGINT', 'SIGTERM', 'SIGHUP'] as const;

/**
 * Ends the child processes that `children` names when this process ends, also by a signal. Left to themselves they would
 * run on for ever, with nobody who knows of them.
 */
export function endChildrenWithProcess(children: () => Iterable<ChildProcess>): Disposable {
  const killAll = () => {
    for (const child of children()) child.kill('SIGKILL');
  };
  const exit = () => process.exit(1);
  process.on('exit', killAll);
  for (const signal of ENDING_SIGNALS) process.on(signal, exit);
  return {
    [Symbol.dispose]() {
      process.off('exit', killAll);
      for (const signal of ENDING_SIGNALS) process.off(signal, exit);
    },
  };
}
