/**
 * What the machines allow. Most of it is kept by what the code does not do; this is what the surroundings of the
 * process could still turn on.
 */

/** Environment variables as Node.js has them. */
export type Environment = Readonly<Record<string, string | undefined>>;

/** Rules that the environment would break, as sentences; none when all is well. */
export function brokenMachineRules(environment: Environment): readonly string[] {
  const ioUring = environment.UV_USE_IO_URING;
  // libuv leaves io_uring off in this Node.js unless it is told otherwise; on these machines the calls are
  // forbidden, and the process would be ended at its first file or socket instead of at its start.
  if (ioUring === undefined || ioUring === '0' || ioUring === '') return [];
  return [`UV_USE_IO_URING is "${ioUring}", which turns io_uring on`];
}
