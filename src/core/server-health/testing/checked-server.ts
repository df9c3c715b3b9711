import type { CheckedServer } from '../types';

/** Returns a server that is checked each second, and is down or up again after two results. */
export function checkedServer(
  serverId: string,
  address: string,
  rules: Partial<CheckedServer['rules']> = {},
): CheckedServer {
  return {
    serverId,
    address,
    service: 'kit-assistant',
    rules: {
      path: '/health',
      intervalMs: 1_000,
      timeoutMs: 500,
      failuresToDown: 2,
      successesToUp: 2,
      slowStartMs: 0,
      ...rules,
    },
  };
}
