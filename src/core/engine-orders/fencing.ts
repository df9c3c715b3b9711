/**
 * Fencing numbers without a writer of shared state.
 *
 * A number is the configuration version times 2^20 plus a count. The version comes from what operators publish
 * and only rises; the count continues from the highest number that the engine itself has seen, which it tells
 * at each look. Nothing is remembered by any instance, so numbers go on rising when every instance has been
 * replaced. An engine that restarts and forgets begins at the version in force, which no earlier version can
 * reach. A sender that meets a number of a later version than its own knows that its configuration is old, and
 * sends nothing.
 */
const COUNTS_PER_VERSION = 2 ** 20;

/** The configuration version that a number was made under. */
export function versionOfFencing(fencingNumber: number): number {
  return Math.floor(fencingNumber / COUNTS_PER_VERSION);
}

/** Whether an engine has been ordered about under a later configuration than `configurationVersion`. */
export function isConfigurationOld(
  seen: number | undefined,
  configurationVersion: number,
): boolean {
  return seen !== undefined && versionOfFencing(seen) > configurationVersion;
}

/**
 * The number for the next order to an engine that has seen `seen`. Two senders that looked at the same time
 * use the same number for orders that the same configuration asks for; whichever comes second changes nothing,
 * or is refused and looks again.
 */
export function nextFencingNumber(seen: number | undefined, configurationVersion: number): number {
  const first = configurationVersion * COUNTS_PER_VERSION;
  return seen === undefined || seen < first ? first : seen + 1;
}
