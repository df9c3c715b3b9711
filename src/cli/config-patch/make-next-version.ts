import type { Operation } from 'fast-json-patch';
import { applyConfigurationPatch } from '../../core/configuration-patch';
import type { PatchResult } from '../../core/configuration-patch';
import { describeProblems } from '../../core/documents';
import { ERRORS, gatewayError } from '../../core/errors';
import { readJsonDocument, readJsonObject } from '../read-document';

function reasonOf(result: Exclude<PatchResult, { kind: 'patched' }>): string {
  switch (result.kind) {
    case 'staleBase':
      return `The patch is against version ${result.base}, the latest is ${result.latest}.`;
    case 'notApplicable':
      return result.reason;
    case 'invalid':
      return `The result has mistakes:\n${describeProblems(result.problems)}`;
    default:
      return result satisfies never;
  }
}

/** The next version, or `PatchRefused` with the reason. */
export function makeNextVersion(latestPath: string, base: number, patchPath: string): object {
  const operations = readJsonDocument(patchPath) as Operation[];
  const result = applyConfigurationPatch(readJsonObject(latestPath), base, operations);
  if (result.kind === 'patched') return result.document;
  throw gatewayError(ERRORS.patchRefused, [reasonOf(result)], { step: 'patch-configuration' });
}
