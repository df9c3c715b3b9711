import type { ConfigurationImage, Documents } from '../configuration';
import type { ConfigurationAnswer, ConfigurationRequest } from './types';

/** Bytes of documents in one answer; whoever lacks more asks again. */
const MAX_ANSWER_BYTES = 524_288;

/** The documents of what changed since a version, oldest first; undefined when they do not reach back to it. */
function changesSince(image: ConfigurationImage, version: number): Documents | undefined {
  const changes = image.manifest?.changes ?? [];
  const start = changes.findIndex((change) => change.after === version);
  if (start === -1) return undefined;
  const documents = new Map<string, string>();
  for (const { hash } of changes.slice(start)) {
    const text = image.documents.get(hash);
    if (text === undefined) return undefined;
    documents.set(hash, text);
  }
  return documents;
}

/** What fits into one answer of the documents that were asked for by their hash. */
function wantedDocuments(image: ConfigurationImage, hashes: readonly string[]): Documents {
  const documents = new Map<string, string>();
  let leftBytes = MAX_ANSWER_BYTES;
  for (const hash of hashes) {
    const text = image.documents.get(hash);
    if (text !== undefined && (leftBytes === MAX_ANSWER_BYTES || text.length <= leftBytes)) {
      documents.set(hash, text);
      leftBytes -= text.length;
    }
  }
  return documents;
}

/** What another instance is answered, from the version in force here. */
export function answerConfigurationRequest(
  image: ConfigurationImage | undefined,
  isConfirmed: boolean,
  { haveVersion, wantedHashes }: ConfigurationRequest,
): ConfigurationAnswer {
  if (image === undefined) {
    return { version: 0, isConfirmed: false, rootText: '', rootDigest: '', documents: new Map() };
  }
  const { version, rootText, digest: rootDigest } = image;
  const answer = { version, isConfirmed, rootDigest };
  if (wantedHashes.length > 0) {
    return { ...answer, rootText, documents: wantedDocuments(image, wantedHashes) };
  }
  const changes = changesSince(image, haveVersion);
  return changes === undefined
    ? { ...answer, rootText, documents: new Map() }
    : { ...answer, rootText: '', documents: changes };
}
