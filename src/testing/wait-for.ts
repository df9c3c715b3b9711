/** Rounds of 5 ms after which a condition counts as never met: far more than any of them needs. */
const MAX_ROUNDS = 4_000;

/** Waits until `condition` holds; for tests on real sockets, where nothing says when a thing is done. */
export async function waitFor(
  condition: () => boolean | Promise<boolean>,
  what: string,
): Promise<void> {
  for (let round = 0; round < MAX_ROUNDS; round += 1) {
    if (await condition()) return;
    await new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
  }
  throw new Error(`Waited in vain for: ${what}`);
}
