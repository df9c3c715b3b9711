import { describeProblems } from '../documents';
import type { Logger } from '../events';
import type { Documents } from './apply-changes';
import { assembleConfiguration, readRootClaim, wholeText } from './assemble';
import type { ConfigurationImage, RootClaim } from './assemble';
import { compileConfiguration } from './compile';
import type { CompiledConfiguration } from './compile';
import { CONFIGURATION_EVENTS } from './events';

/** What became of a version that was offered. */
export type OfferResult =
  | { readonly kind: 'inForce'; readonly version: number }
  | { readonly kind: 'notNewer'; readonly version: number }
  | { readonly kind: 'refused'; readonly problems: string }
  /** Offer it again together with these documents. */
  | { readonly kind: 'incomplete'; readonly missingHashes: readonly string[] };

/** Holds the version in force. Versions only rise, whoever offers them and in whatever order. */
export interface ConfigurationStore {
  current(): CompiledConfiguration | undefined;
  /**
   * Offers a version as read from the platform or a peer: the JSON of its root, and those documents that the
   * root names and this store is known to lack.
   */
  offer(rootText: string, source: string, documents?: Documents): OfferResult;
  /** The version in force as one JSON document, as operators write it. */
  currentText(): string | undefined;
  /** The version in force with its texts, as peers are given it. */
  currentImage(): ConfigurationImage | undefined;
  /** Calls back after each change of version. */
  onChange(listener: (configuration: CompiledConfiguration) => void): Disposable;
}

/** Options of a store. */
export interface ConfigurationStoreOptions {
  /** Versions below are never taken, whoever offers them; see the operators' page. */
  readonly lowestVersion?: number;
}

const NO_DOCUMENTS: Documents = new Map();
/** Refused versions and conflicts that are remembered, so that each is reported once. */
const MAX_REPORTED = 256;

/** An empty store: until a first version is accepted, nothing can be served. */
export function createConfigurationStore(
  logger: Logger,
  { lowestVersion = 1 }: ConfigurationStoreOptions = {},
): ConfigurationStore {
  const listeners = new Set<(configuration: CompiledConfiguration) => void>();
  const refused = new Map<string, string>();
  const conflicts = new Set<number>();
  let current: CompiledConfiguration | undefined;
  let image: ConfigurationImage | undefined;

  const refuse = (key: string, problems: string, source: string): OfferResult => {
    const isNew = !refused.has(key);
    if (refused.size >= MAX_REPORTED) refused.clear();
    refused.set(key, problems);
    if (isNew) logger.event(CONFIGURATION_EVENTS.versionRefused, { source, problems });
    return { kind: 'refused', problems };
  };

  const noteConflict = (claim: RootClaim, source: string) => {
    if (conflicts.has(claim.version)) return;
    if (conflicts.size >= MAX_REPORTED) conflicts.clear();
    conflicts.add(claim.version);
    logger.event(CONFIGURATION_EVENTS.contentConflict, {
      version: claim.version,
      source,
      digest: claim.digest,
      digestInForce: image?.digest,
    });
  };

  /**
   * Whether a root is to be read at all. Of two contents under one number the one with the greater digest
   * stands, so that instances which saw them in a different order still end with the same.
   */
  const isWanted = (claim: RootClaim, source: string): boolean => {
    if (claim.version < lowestVersion) return false;
    if (image === undefined || claim.version > image.version) return true;
    if (claim.version < image.version || claim.digest === image.digest) return false;
    noteConflict(claim, source);
    return claim.digest > image.digest;
  };

  return {
    current: () => current,
    currentImage: () => image,
    currentText: () => (image === undefined ? undefined : wholeText(image)),
    offer(rootText, source, documents = NO_DOCUMENTS) {
      const claim = readRootClaim(rootText);
      if (claim === undefined) {
        return refuse(rootText.slice(0, 64), '  /version: not a JSON document with one', source);
      }
      const { version, digest } = claim;
      const key = `${version} ${digest}`;
      const known = refused.get(key);
      if (known !== undefined) return { kind: 'refused', problems: known };
      if (!isWanted(claim, source)) return { kind: 'notNewer', version };
      const assembly = assembleConfiguration(claim, rootText, image, documents);
      if (assembly.kind === 'incomplete') return assembly;
      if (assembly.kind === 'invalid') {
        return refuse(key, describeProblems(assembly.problems), `${source}, version ${version}`);
      }
      image = assembly.image;
      current = compileConfiguration(image.document);
      logger.event(CONFIGURATION_EVENTS.versionInForce, { version, source });
      for (const listener of listeners) listener(current);
      return { kind: 'inForce', version };
    },
    onChange(listener) {
      listeners.add(listener);
      return {
        [Symbol.dispose]() {
          listeners.delete(listener);
        },
      };
    },
  };
}
