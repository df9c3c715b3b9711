import { existsSync, mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { configurationSchema, manifestSchema, splitConfiguration } from '../../core/configuration';
import type { ConfigurationInput, PreviousVersion } from '../../core/configuration';
import { requireDocument } from '../../core/documents';
import { readJsonDocument } from '../read-document';

/** What was written. */
export interface WrittenForm {
  readonly version: number;
  /** Documents that were not in the folder before; only these need be published. */
  readonly newDocuments: number;
  readonly newBytes: number;
}

function readVersion(path: string): ConfigurationInput {
  const value = readJsonDocument(path);
  requireDocument(configurationSchema, value, `configuration (${path})`);
  // The text as written is published, defaults left out, so that a new default reaches old documents.
  return value as ConfigurationInput;
}

function readPrevious(
  documentPath: string | undefined,
  rootPath: string | undefined,
): PreviousVersion | undefined {
  if (documentPath === undefined || rootPath === undefined) return undefined;
  const manifest = requireDocument(
    manifestSchema,
    readJsonDocument(rootPath),
    `root (${rootPath})`,
  );
  return { document: readVersion(documentPath), manifest };
}

/** Writes the documents that the folder lacks, and the root last. */
export function writePublishedForm(
  documentPath: string,
  folder: string,
  previousPath: string | undefined,
  previousRootPath: string | undefined,
): WrittenForm {
  const previous = readPrevious(previousPath, previousRootPath);
  const published = splitConfiguration(readVersion(documentPath), previous);
  mkdirSync(join(folder, 'documents'), { recursive: true });
  let newDocuments = 0;
  let newBytes = Buffer.byteLength(published.rootText);
  for (const [hash, text] of published.documents) {
    const path = join(folder, 'documents', hash);
    if (!existsSync(path)) {
      writeFileSync(path, text);
      newDocuments += 1;
      newBytes += Buffer.byteLength(text);
    }
  }
  writeFileSync(join(folder, 'root.json'), published.rootText);
  return { version: published.manifest.version, newDocuments, newBytes };
}
