import { request } from 'undici';
import type { InstanceStatus } from '../src/core/operators';
import type { InstanceProcess } from './instance-process';

/** The status of an instance, or undefined while it does not answer. */
export async function fetchStatus(
  { settings }: InstanceProcess,
  operatorKey: string,
): Promise<InstanceStatus | undefined> {
  const { host, port } = settings.listeners.operators;
  try {
    const response = await request(`http://${host}:${port}/status`, {
      headers: { authorization: `Bearer ${operatorKey}` },
    });
    return (await response.body.json()) as InstanceStatus;
  } catch {
    return undefined;
  }
}
