import process from 'node:process';
import { createConfigurationStore, splitConfiguration } from '../../src/core/configuration';
import type { ConfigurationStore, PublishedConfiguration } from '../../src/core/configuration';
import { createMemoryLogger } from '../../src/testing';
import { sampleConfiguration, withCallerChanged } from '../../src/testing/sample-configuration';

/** What one change costs an instance at the target's size, by the form in which it is published. */

/** What one form gave. */
export interface ChangeCostFigures {
  readonly form: string;
  /** Texts read for one change, bytes. */
  readonly bytesPerChange: number;
  readonly medianMs: number;
  readonly longestMs: number;
  /** At 16,000 changes a day. */
  readonly bytesPerSecond: number;
  readonly corePercent: number;
}

/** Sizes and memory at the target's size. */
export interface TargetSizeFigures {
  readonly wholeBytes: number;
  readonly manifestBytes: number;
  readonly sectionCount: number;
  readonly largestSectionBytes: number;
  /** Heap of a store that holds it, texts and look-ups included, bytes. */
  readonly heapBytes: number;
}

const TARGET = { regions: 8, services: 17, servers: 2_900, callers: 18_000 };
const CHANGES = 40;
const CHANGES_PER_SECOND = 16_000 / 86_400;

function median(values: readonly number[]): number {
  return [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)] ?? 0;
}

/** Offers a version as a reader does, and returns the bytes that it had to read. */
function readChange(
  store: ConfigurationStore,
  { rootText, documents }: PublishedConfiguration,
): number {
  let bytes = rootText.length;
  const given = new Map<string, string>();
  let result = store.offer(rootText, 'bench');
  while (result.kind === 'incomplete') {
    for (const hash of result.missingHashes) {
      const text = documents.get(hash) ?? '';
      given.set(hash, text);
      bytes += text.length;
    }
    result = store.offer(rootText, 'bench', given);
  }
  if (result.kind !== 'inForce') throw new Error(`not in force: ${result.kind}`);
  return bytes;
}

function summarize(form: string, bytes: number[], timesMs: number[]): ChangeCostFigures {
  const bytesPerChange = median(bytes);
  const medianMs = median(timesMs);
  return {
    form,
    bytesPerChange,
    medianMs,
    longestMs: Math.max(...timesMs),
    bytesPerSecond: bytesPerChange * CHANGES_PER_SECOND,
    corePercent: medianMs * CHANGES_PER_SECOND * 0.1,
  };
}

function measureForm(
  form: string,
  publish: (version: PublishedConfiguration, wholeText: string) => PublishedConfiguration,
): ChangeCostFigures {
  const store = createConfigurationStore(createMemoryLogger());
  let document = sampleConfiguration(TARGET);
  let published = splitConfiguration(document);
  readChange(store, publish(published, JSON.stringify(document)));
  const bytes: number[] = [];
  const timesMs: number[] = [];
  for (let change = 0; change < CHANGES; change += 1) {
    const next = withCallerChanged(document, change * 37);
    published = splitConfiguration(next, { document, manifest: published.manifest });
    document = next;
    const offered = publish(published, JSON.stringify(document));
    const startMs = performance.now();
    bytes.push(readChange(store, offered));
    timesMs.push(performance.now() - startMs);
  }
  return summarize(form, bytes, timesMs);
}

function withoutChanges(published: PublishedConfiguration): PublishedConfiguration {
  const manifest = { ...published.manifest, changes: [] };
  return { ...published, manifest, rootText: JSON.stringify(manifest) };
}

/** All three forms. */
export function measureChangeCost(): readonly ChangeCostFigures[] {
  return [
    measureForm('one document', (_published, rootText) => ({
      ..._published,
      rootText,
      documents: new Map(),
    })),
    measureForm('sections by hash', withoutChanges),
    measureForm('sections and changes', (published) => published),
  ];
}

function heapBytes(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

/** Sizes and memory of the target. */
export function measureTargetSize(): TargetSizeFigures {
  const document = sampleConfiguration(TARGET);
  const wholeBytes = JSON.stringify(document).length;
  const published = splitConfiguration(document);
  // Texts are copied, as those read from a socket are, so that the store's own are counted.
  const documents = new Map(
    [...published.documents].map(([hash, text]) => [hash, Buffer.from(text).toString('utf8')]),
  );
  const sizes = [...documents.values()].map((text) => text.length);
  const before = heapBytes() - sizes.reduce((sum, size) => sum + size, 0);
  const store = createConfigurationStore(createMemoryLogger());
  store.offer(published.rootText, 'bench', documents);
  const after = heapBytes();
  if (store.current()?.callerById('caller-1') === undefined) throw new Error('not in force');
  return {
    wholeBytes,
    manifestBytes: published.rootText.length,
    sectionCount: sizes.length,
    largestSectionBytes: Math.max(...sizes),
    heapBytes: after - before,
  };
}
