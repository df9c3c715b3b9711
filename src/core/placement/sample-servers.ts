/**
 * Draws the servers that one choice looks at.
 *
 * Answers many instances that choose among the same servers within the time in which they learn of one another's work.
 * Each of them knows the same, so all find the same server best: prompts pile up there beside servers that read nothing,
 * the more the more instances there are. The best of a few drawn ones is nearly as good as the best of all and is another
 * one for each choice.
 */

/** Servers that are looked at: with two, a bad pair is drawn too often; with many, all instances agree again. */
const LEAST_LOOKED_AT = 3;

/** How many of `servers` one of so many `instances` looks at; all of them where it is alone. */
export function countToLookAt(servers: number, instances: number): number {
  return Math.max(LEAST_LOOKED_AT, Math.ceil(servers / Math.max(1, instances)));
}

/** Some `count` of the servers, each as likely as any other; all where there are no more. */
export function sampleServers<Server>(
  servers: readonly Server[],
  count: number,
  draw: () => number,
): readonly Server[] {
  const left = [...servers];
  const sample: Server[] = [];
  while (sample.length < count && left.length > 0) {
    const [drawn] = left.splice(Math.floor(draw() * left.length), 1);
    if (drawn !== undefined) sample.push(drawn);
  }
  return sample;
}
