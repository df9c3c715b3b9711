import type { ConfigurationStore } from '../configuration';
import type { AskPeer, ConfigurationAnswer } from './types';

/** Questions that one pull may take: enough for all sections of the largest configuration. */
const MOST_QUESTIONS = 64;

/** What a pull needs. */
export interface PullOptions {
  readonly store: ConfigurationStore;
  readonly askPeer: AskPeer;
}

/**
 * Takes what a peer has in force, as far as it is newer. Asks again for documents that are missing, and ends
 * when nothing more comes; returns the first answer.
 */
export async function pullFromPeer(
  { store, askPeer }: PullOptions,
  peerAddress: string,
): Promise<ConfigurationAnswer> {
  const haveVersion = store.current()?.version ?? 0;
  const first = await askPeer(peerAddress, { haveVersion, wantedHashes: [] });
  if (first.version === 0) return first;
  const documents = new Map(first.documents);
  let { rootText } = first;
  let result = store.offer(rootText, peerAddress, documents);
  for (let question = 1; result.kind === 'incomplete' && question < MOST_QUESTIONS; question += 1) {
    const wantedHashes = result.missingHashes.filter((hash) => !documents.has(hash));
    const answer = await askPeer(peerAddress, { haveVersion, wantedHashes });
    // Between two questions the peer may have taken the next version; its documents go with its root.
    const isNewRoot = answer.rootText !== rootText;
    if (answer.documents.size === 0 && !isNewRoot) return first;
    answer.documents.forEach((text, hash) => documents.set(hash, text));
    rootText = answer.rootText;
    result = store.offer(rootText, peerAddress, documents);
  }
  return first;
}
