import { request } from 'undici';
import type { InstanceStatus } from '../src/core/operators';
import type { InstanceProcess } from './instance-process';

/** Returns the status of an instance; undefined while it does not answer. */
export async function fetchStatus(
  { addresses }: InstanceProcess,
  operatorKey: string,
): Promise<InstanceStatus | undefined> {
  try {
    const response = await request(`http://${addresses.operatorAddress}/status`, {
      headers: { authorization: `Bearer ${operatorKey}` },
    });
    return (await response.body.json()) as InstanceStatus;
  } catch {
    return undefined;
  }
}
