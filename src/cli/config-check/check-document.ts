import type { Writable } from 'node:stream';
import { configurationSchema } from '../../core/configuration';
import { describeProblems, readDocument } from '../../core/documents';
import { settingsSchema } from '../../core/settings';
import { EXIT_CODES } from '../gateway-command';
import { readJsonDocument } from '../read-document';

/** Prints whether the document fits its schema, with the path of each mistake. */
export function checkDocument(
  path: string,
  isSettings: boolean,
  json: boolean,
  out: Writable,
): number {
  const schema = isSettings ? settingsSchema : configurationSchema;
  const reading = readDocument(schema, readJsonDocument(path));
  const problems = reading.kind === 'valid' ? [] : reading.problems;
  const isValid = problems.length === 0;
  if (json) out.write(`${JSON.stringify({ valid: isValid, problems })}\n`);
  else if (isValid) out.write(`${path}: valid\n`);
  else out.write(`${path}: ${problems.length} mistakes\n${describeProblems(problems)}\n`);
  return isValid ? EXIT_CODES.ok : EXIT_CODES.negative;
}
