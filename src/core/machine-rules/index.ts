/**
 * Rules of the machines on which instances run. The code follows most of them by not using what they forbid; the checks
 * here cover what the environment of the process could still enable.
 */

/** Environment variables, in the shape of `process.env`. */
export type Environment = Readonly<Record<string, string | undefined>>;

/** Returns a sentence for each machine rule that the environment would break; empty if none. */
export function brokenMachineRules(environment: Environment): readonly string[] {
  const ioUring = environment.UV_USE_IO_URING;
  // In this version of Node.js, libuv uses io_uring only if this variable enables it. The machines forbid its system
  // calls, so the process would be killed at its first file or socket operation rather than rejected at its start.
  if (ioUring === undefined || ioUring === '0' || ioUring === '') return [];
  return [`UV_USE_IO_URING is "${ioUring}", which turns io_uring on`];
}
