import { createHash } from 'node:crypto';
import { describeProblems, readDocument } from '../documents';
import type { Logger } from '../events';
import { compileConfiguration } from './compile';
import type { CompiledConfiguration } from './compile';
import { CONFIGURATION_EVENTS } from './events';
import { configurationSchema } from './schema';

/** What became of a version that was offered. */
export type OfferResult =
  | { readonly kind: 'inForce'; readonly version: number }
  | { readonly kind: 'notNewer'; readonly version: number }
  | { readonly kind: 'refused'; readonly problems: string };

/** Holds the version in force. Versions only rise, whoever offers them and in whatever order. */
export interface ConfigurationStore {
  current(): CompiledConfiguration | undefined;
  /** Offers a document as read from the platform or a peer; `text` is its JSON. */
  offer(text: string, source: string): OfferResult;
  /** The JSON of the version in force, as peers are given it. */
  currentText(): string | undefined;
  /** Calls back after each change of version. */
  onChange(listener: (configuration: CompiledConfiguration) => void): Disposable;
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/** An empty store: until a first version is accepted, nothing can be served. */
export function createConfigurationStore(logger: Logger): ConfigurationStore {
  const listeners = new Set<(configuration: CompiledConfiguration) => void>();
  let current: CompiledConfiguration | undefined;
  let currentText: string | undefined;
  let currentDigest = '';

  const noteNotNewer = (version: number, text: string, source: string): OfferResult => {
    const isSameNumber = version === current?.version;
    if (isSameNumber && createHash('sha256').update(text).digest('hex') !== currentDigest) {
      logger.event(CONFIGURATION_EVENTS.contentConflict, { version, source });
    }
    return { kind: 'notNewer', version };
  };

  return {
    current: () => current,
    currentText: () => currentText,
    offer(text, source) {
      const reading = readDocument(configurationSchema, parseJson(text));
      if (reading.kind === 'invalid') {
        const problems = describeProblems(reading.problems);
        logger.event(CONFIGURATION_EVENTS.versionRefused, { source, problems });
        return { kind: 'refused', problems };
      }
      const { version } = reading.value;
      if (current !== undefined && version <= current.version) {
        return noteNotNewer(version, text, source);
      }
      current = compileConfiguration(reading.value);
      currentText = text;
      currentDigest = createHash('sha256').update(text).digest('hex');
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
