import { readFileSync, writeFileSync } from 'node:fs';
import { z } from 'zod';
import { configurationSchema } from '../src/core/configuration';
import { describeEvents } from '../src/core/events/describe-events';
import { EVENT_CATALOGUE } from '../src/core/events/catalogue';
import { describeRefusals } from '../src/core/refusals/describe-refusals';
import { settingsSchema } from '../src/core/settings';

/**
 * Generates the JSON Schemas for editors and the catalogues in docs/ from the code. With --check, it writes nothing and
 * fails if a file is out of date.
 */

interface GeneratedFile {
  readonly path: string;
  readonly text: string;
}

function jsonSchema(path: string, schema: z.ZodType): GeneratedFile {
  // The schema describes documents as people write them: fields with a default are optional.
  const value = z.toJSONSchema(schema, { io: 'input', unrepresentable: 'any' });
  return { path, text: `${JSON.stringify(value, null, 2)}\n` };
}

const FILES: readonly GeneratedFile[] = [
  jsonSchema('schemas/settings.schema.json', settingsSchema),
  jsonSchema('schemas/configuration.schema.json', configurationSchema),
  { path: 'docs/EVENTS.md', text: describeEvents(EVENT_CATALOGUE) },
  { path: 'docs/REFUSALS.md', text: describeRefusals() },
];

function currentText(path: string): string {
  try {
    return readFileSync(path, 'utf8');
  } catch {
    return '';
  }
}

const isCheck = process.argv.includes('--check');
const stale = FILES.filter(({ path, text }) => currentText(path) !== text);
if (isCheck) {
  for (const { path } of stale) console.error(`${path} differs: run npm run generate:documents`);
  process.exitCode = stale.length === 0 ? 0 : 1;
} else {
  for (const { path, text } of stale) {
    writeFileSync(path, text);
    console.log(`wrote ${path}`);
  }
}
