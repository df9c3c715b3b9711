import fastJsonPatch from 'fast-json-patch';
import type { Operation } from 'fast-json-patch';
import { configurationSchema } from '../configuration';
import { readDocument } from '../documents';
import { errorText } from '../errors';
import type { PatchResult } from './types';

/** Removes what only editors read, and the version, which the next one replaces. */
function versionOf(document: unknown): number {
  if (typeof document !== 'object' || document === null || !('version' in document)) return 0;
  return typeof document.version === 'number' ? document.version : 0;
}

function patched(document: object, operations: readonly Operation[]): object | string {
  try {
    const copy = structuredClone(document);
    return fastJsonPatch.applyPatch(copy, structuredClone(operations) as Operation[], true)
      .newDocument;
  } catch (error) {
    const [firstLine = ''] = errorText(error).split('\n');
    return firstLine;
  }
}

/**
 * Applies a patch (RFC 6902) written against version `base` of `latest` and numbers the result as the next.
 *
 * Two operators who both start from version 7 would otherwise each publish a version 8, and the second would
 * silently undo the first. A base that is not the latest is refused; the operator looks again and repeats.
 */
export function applyConfigurationPatch(
  latest: object,
  base: number,
  operations: readonly Operation[],
): PatchResult {
  const latestVersion = versionOf(latest);
  if (base !== latestVersion) return { kind: 'staleBase', base, latest: latestVersion };

  const result = patched(latest, operations);
  if (typeof result === 'string') return { kind: 'notApplicable', reason: result };

  const document = { ...result, version: latestVersion + 1 };
  const reading = readDocument(configurationSchema, document);
  if (reading.kind === 'invalid') return { kind: 'invalid', problems: reading.problems };
  return { kind: 'patched', version: latestVersion + 1, document };
}

/** The patch that turns one document into another, its version aside. */
export function diffConfigurations(from: object, to: object): Operation[] {
  const base = { ...from, version: 0 };
  return fastJsonPatch.compare(base, { ...to, version: 0 });
}
