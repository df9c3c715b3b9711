import type { ConfigurationStore } from '../configuration';
import type { ConfigurationService } from './types';

/** Documents read at once: few, since all readers share the service's rate. */
const READ_AT_ONCE = 4;

/** What reading needs. */
export interface ServiceReadOptions {
  readonly store: ConfigurationStore;
  readonly service: ConfigurationService;
}

/** Offers a root from the service, reading the documents that are missing; true when it came into force. */
export async function offerFromService(
  { store, service }: ServiceReadOptions,
  rootText: string,
  signal: AbortSignal,
): Promise<boolean> {
  const documents = new Map<string, string>();
  let result = store.offer(rootText, 'platform');
  while (result.kind === 'incomplete') {
    const missing = result.missingHashes.filter((hash) => !documents.has(hash));
    // What was read and is still missing does not fit its address; reading it again would not help.
    if (missing.length === 0) return false;
    for (let start = 0; start < missing.length; start += READ_AT_ONCE) {
      const hashes = missing.slice(start, start + READ_AT_ONCE);
      const texts = await Promise.all(hashes.map((hash) => service.readDocument(hash, signal)));
      hashes.forEach((hash, index) => documents.set(hash, texts[index] ?? ''));
    }
    result = store.offer(rootText, 'platform', documents);
  }
  return result.kind === 'inForce';
}
