/**
 * Random sampling of the servers that are evaluated for one request.
 *
 * Instances learn of each other's load with a delay. Until then all of them have the same data and would select the
 * same server: prompts queue there while other servers are idle, and more so the more instances there are. The best
 * server of a small random sample is nearly as good as the best of all, and differs from request to request.
 */

/**
 * Minimum number of sampled servers: with two, samples often contain only bad servers. With many, all instances would
 * select the same server again.
 */
const MIN_SAMPLE_SIZE = 3;

/** Returns how many of the servers an instance evaluates per request; all of them if it is the only instance. */
export function serverSampleSize(serverCount: number, instanceCount: number): number {
  return Math.max(MIN_SAMPLE_SIZE, Math.ceil(serverCount / Math.max(1, instanceCount)));
}

/** Returns a uniform random sample of `count` servers, or all of them if there are no more than that. */
export function sampleServers<Server>(
  servers: readonly Server[],
  count: number,
  random: () => number,
): readonly Server[] {
  const remaining = [...servers];
  const sample: Server[] = [];
  while (sample.length < count && remaining.length > 0) {
    const [drawn] = remaining.splice(Math.floor(random() * remaining.length), 1);
    if (drawn !== undefined) sample.push(drawn);
  }
  return sample;
}
