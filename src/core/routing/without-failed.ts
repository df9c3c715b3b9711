import type { RoutingInput } from './types';

/**
 * Leaves out the servers and instances at which earlier tries of a request failed, so that a retry goes
 * elsewhere: to another server, else to another region. Where nothing else is left they stay, since a server
 * that lost one connection is better than none.
 */
export function withoutFailed(input: RoutingInput, avoid: readonly string[] = []): RoutingInput {
  if (avoid.length === 0) return input;
  const servers = input.servers.filter(({ serverId }) => !avoid.includes(serverId));
  const peers = input.peers.filter(({ instanceId }) => !avoid.includes(instanceId));
  return servers.length + peers.length === 0 ? input : { ...input, servers, peers };
}
