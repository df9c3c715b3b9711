import { request } from 'undici';
import { ERRORS, errorText, gatewayError } from '../core/errors';
import type { InstanceStatus } from '../core/operators';

/** Longest wait for an instance that may be gone. */
const TIMEOUT_MS = 5_000;

/** Reads one path of an operators listener as JSON; throws `InstanceUnreachable`. */
export async function fetchFromInstance(
  address: string,
  path: string,
  key: string,
): Promise<unknown> {
  const unreachable = (reason: string) =>
    gatewayError(ERRORS.instanceUnreachable, [address, reason], {
      step: 'ask-instance',
      peer: address,
    });
  let response;
  try {
    response = await request(`http://${address}${path}`, {
      headers: { authorization: `Bearer ${key}` },
      headersTimeout: TIMEOUT_MS,
      bodyTimeout: TIMEOUT_MS,
    });
  } catch (error) {
    throw unreachable(errorText(error));
  }
  const body = await response.body.json();
  if (response.statusCode !== 200) throw unreachable(`status ${response.statusCode}`);
  return body;
}

/** The status of each instance that answers; throws when none does. */
export async function fetchStatuses(
  addresses: readonly string[],
  key: string,
): Promise<InstanceStatus[]> {
  const results = await Promise.allSettled(
    addresses.map((address) => fetchFromInstance(address, '/status', key)),
  );
  const statuses = results.flatMap((result) =>
    result.status === 'fulfilled' ? [result.value as InstanceStatus] : [],
  );
  const [first] = results;
  if (statuses.length === 0 && first?.status === 'rejected') throw first.reason;
  return statuses;
}
