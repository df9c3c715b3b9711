import type { Writable } from 'node:stream';
import type { RouteExplanation } from '../../core/serving';
import { EXIT_CODES } from '../gateway-command';
import { fetchFromInstance } from '../operator-client';

/** What is asked, of whom. */
export interface ExplanationQuestion {
  readonly instance: string;
  readonly key: string;
  readonly caller: string;
  readonly service: string;
  readonly json: boolean;
}

function writeText(explanation: RouteExplanation, out: Writable): void {
  out.write(`${explanation.conclusion}\n`);
  out.write(`allowed regions: ${explanation.allowedRegions.join(', ') || 'none'}\n`);
  for (const { serverId, failureDomain, takesNewWork, inFlightRequests } of explanation.servers) {
    const state = takesNewWork ? 'takes work' : 'out';
    out.write(`${serverId}\t${failureDomain}\t${state}\t${inFlightRequests} in flight\n`);
  }
  for (const { region, hasServers, instances } of explanation.otherRegions) {
    const servers = hasServers ? 'has servers' : 'has no servers';
    out.write(`${region}\t${servers}\t${instances.join(', ') || 'no instance'}\n`);
  }
}

/** Asks the instance and prints its explanation. */
export async function printExplanation(
  { instance, key, caller, service, json }: ExplanationQuestion,
  out: Writable,
): Promise<number> {
  const query = new URLSearchParams({ caller, service });
  const answer = await fetchFromInstance(instance, `/routes/explain?${query.toString()}`, key);
  const explanation = answer as RouteExplanation | null;
  if (explanation === null) {
    out.write(`${instance} knows no caller "${caller}" or no service "${service}"\n`);
    return EXIT_CODES.negative;
  }
  if (json) out.write(`${JSON.stringify(explanation)}\n`);
  else writeText(explanation, out);
  return EXIT_CODES.ok;
}
