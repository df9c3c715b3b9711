import { deriveRoot } from '../configuration';
import type { ConfigurationStore, DerivedRoot } from '../configuration';
import type { AskPeer, ConfigurationAnswer } from './types';

/** Questions that one pull may take: enough for all sections of the largest configuration. */
const MAX_QUESTIONS = 64;

/** What a pull needs. */
export interface PullOptions {
  readonly store: ConfigurationStore;
  readonly askPeer: AskPeer;
}

/** The root of an answer with the documents that are at hand for it; undefined when it has to be asked for. */
function rootOf(store: ConfigurationStore, answer: ConfigurationAnswer): DerivedRoot | undefined {
  if (answer.rootText !== '') return { rootText: answer.rootText, sections: new Map() };
  const before = store.currentImage();
  if (before?.manifest === undefined) return undefined;
  return deriveRoot(before.manifest, before.documents, answer.documents, answer.rootDigest);
}

/**
 * Takes what a peer has in force, as far as it is newer. Asks again for documents that are missing, and ends
 * when nothing more comes.
 */
export async function pullFromPeer(
  { store, askPeer }: PullOptions,
  peerAddress: string,
): Promise<void> {
  const haveVersion = store.current()?.version ?? 0;
  let answer = await askPeer(peerAddress, { haveVersion, wantedHashes: [] });
  let root = rootOf(store, answer);
  if (root === undefined && answer.version > 0) {
    answer = await askPeer(peerAddress, { haveVersion: 0, wantedHashes: [] });
    root = rootOf(store, answer);
  }
  if (root === undefined || answer.version === 0) return;
  let { rootText } = root;
  const documents = new Map([...root.sections, ...answer.documents]);
  let result = store.offer(rootText, peerAddress, documents);
  for (let question = 1; result.kind === 'incomplete' && question < MAX_QUESTIONS; question += 1) {
    const wantedHashes = result.missingHashes.filter((hash) => !documents.has(hash));
    const more = await askPeer(peerAddress, { haveVersion, wantedHashes });
    // Between two questions the peer may have taken the next version; its documents go with its root.
    const isNewRoot = more.rootText !== rootText;
    if (more.documents.size === 0 && !isNewRoot) return;
    more.documents.forEach((text, hash) => documents.set(hash, text));
    rootText = more.rootText;
    result = store.offer(rootText, peerAddress, documents);
  }
}
