import { request } from 'undici';
import { z } from 'zod';
import { ERRORS, gatewayError } from '../errors';

/** Where the platform lists instances. */
export interface InstanceListPlace {
  /** Base URL of a catalogue that speaks the Consul health HTTP API. */
  readonly url: string;
  /** Service under which instances are listed; their port there is the one for peers. */
  readonly service: string;
}

const entrySchema = z.object({
  Node: z.object({ Address: z.string() }),
  Service: z.object({ Address: z.string().default(''), Port: z.int().min(1).max(65_535) }),
});

const READ_TIMEOUT_MS = 3_000;
/** Entries that are looked at; a list with more is damaged or not ours. */
const MOST_ENTRIES = 5_000;

function addressOf({ Node, Service }: z.output<typeof entrySchema>): string {
  const host = Service.Address === '' ? Node.Address : Service.Address;
  return host.includes(':') ? `[${host}]:${Service.Port}` : `${host}:${Service.Port}`;
}

/**
 * Peer addresses from the platform's list of instances. It lags and may be wrong both ways, so it is only ever
 * a hint whom to try: what an instance is and whether it lives, its own heartbeats say.
 */
export async function readInstanceList(place: InstanceListPlace): Promise<readonly string[]> {
  const response = await request(`${place.url}/v1/health/service/${place.service}`, {
    headersTimeout: READ_TIMEOUT_MS,
    bodyTimeout: READ_TIMEOUT_MS,
  });
  if (response.statusCode !== 200) {
    await response.body.dump();
    const reason = `status ${response.statusCode}`;
    const at = { step: 'read-instance-list', peer: place.url };
    throw gatewayError(ERRORS.platformUnavailable, ['Instance list', reason], at);
  }
  const entries = z.array(z.unknown()).parse(await response.body.json());
  return entries.slice(0, MOST_ENTRIES).flatMap((entry) => {
    const reading = entrySchema.safeParse(entry);
    return reading.success ? [addressOf(reading.data)] : [];
  });
}
