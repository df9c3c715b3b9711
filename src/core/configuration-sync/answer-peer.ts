import type { ConfigurationImage } from '../configuration';
import type { ConfigurationAnswer, ConfigurationRequest } from './types';

/** Bytes of documents in one answer; whoever lacks more asks again. */
const MOST_BYTES = 524_288;

function wantedHashes(image: ConfigurationImage, request: ConfigurationRequest): readonly string[] {
  if (request.wantedHashes.length > 0) return request.wantedHashes;
  const changes = image.manifest?.changes ?? [];
  const start = changes.findIndex((change) => change.after === request.haveVersion);
  return start === -1 ? [] : changes.slice(start).map((change) => change.hash);
}

/** What another instance is answered, from the version in force here. */
export function answerConfigurationRequest(
  image: ConfigurationImage | undefined,
  isConfirmed: boolean,
  request: ConfigurationRequest,
): ConfigurationAnswer {
  if (image === undefined) {
    return { version: 0, isConfirmed: false, rootText: '', documents: new Map() };
  }
  const documents = new Map<string, string>();
  let leftBytes = MOST_BYTES;
  for (const hash of wantedHashes(image, request)) {
    const text = image.documents.get(hash);
    if (text !== undefined && (leftBytes === MOST_BYTES || text.length <= leftBytes)) {
      documents.set(hash, text);
      leftBytes -= text.length;
    }
  }
  const { version, rootText } = image;
  return { version, isConfirmed, rootText, documents };
}
