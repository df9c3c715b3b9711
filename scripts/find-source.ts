/**
 * Prints the place in the sources of a place in the bundle, as log lines and stack traces state it:
 * `npm run find:source -- LINE:COLUMN`, with the source map that the build has written as a second argument if it isn't
 * in `target`.
 */
import { readFileSync } from 'node:fs';
import { SourceMap } from 'node:module';
import type { SourceMapPayload } from 'node:module';
import process from 'node:process';
import { pathToFileURL } from 'node:url';

const DEFAULT_MAP = 'target/coltsfootworks-bundle.cjs.map';

/** Returns `FILE:LINE:COLUMN` of the sources; undefined if the place isn't one of the bundle. Lines and columns begin at 1. */
export function findSource(
  map: SourceMapPayload,
  line: number,
  column: number,
): string | undefined {
  const entry = new SourceMap(map).findEntry(line - 1, column - 1);
  if (!('originalSource' in entry)) return undefined;
  const { originalSource, originalLine, originalColumn } = entry;
  return `${originalSource}:${originalLine + 1}:${originalColumn + 1}`;
}

function main([place = '', mapPath = DEFAULT_MAP]: readonly string[]): void {
  const [, line, column] = /(\d+):(\d+)\)?$/u.exec(place) ?? [];
  if (line === undefined || column === undefined) {
    throw new Error('State the place as LINE:COLUMN, such as 1204:17.');
  }
  const map: SourceMapPayload = JSON.parse(readFileSync(mapPath, 'utf8'));
  const source = findSource(map, Number(line), Number(column));
  process.stdout.write(`${source ?? 'No source is known for this place.'}\n`);
}

if (import.meta.url === pathToFileURL(process.argv[1] ?? '').href) main(process.argv.slice(2));
