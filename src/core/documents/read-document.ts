import type { z } from 'zod';
import { ERRORS, gatewayError } from '../errors';
import { createSchemaGuide } from './explain-problem';
import type { SchemaGuide } from './explain-problem';

/** One thing wrong with a document that people write. */
export interface DocumentProblem {
  /** Where, for example `/services/0/regions/0`. */
  readonly path: string;
  /** What is wrong there and what would be right. */
  readonly problem: string;
}

/** What reading a document gives. */
export type DocumentReading<Value> =
  | { readonly kind: 'valid'; readonly value: Value }
  | { readonly kind: 'invalid'; readonly problems: readonly DocumentProblem[] };

type Issue = z.core.$ZodIssue;

function toPointer(path: readonly PropertyKey[]): string {
  if (path.length === 0) return '/';
  return path.map((part) => `/${String(part)}`).join('');
}

function withDescription(guide: SchemaGuide, issue: Issue, problem: string): DocumentProblem {
  const description = guide.descriptionAt(issue.path);
  return {
    path: toPointer(issue.path),
    problem: description === undefined ? problem : `${problem} (${description})`,
  };
}

function unknownKeys(guide: SchemaGuide, issue: Issue, keys: readonly string[]): DocumentProblem[] {
  const known = guide.keysAt(issue.path);
  return keys.map((key) => ({
    path: toPointer([...issue.path, key]),
    problem: `unknown key; ${known.length === 0 ? 'nothing' : known.join(', ')} may stand here`,
  }));
}

function toProblems(guide: SchemaGuide, issue: Issue): DocumentProblem[] {
  if (issue.code === 'unrecognized_keys') return unknownKeys(guide, issue, issue.keys);
  const isMissing = issue.code === 'invalid_type' && issue.message.endsWith('received undefined');
  const problem = isMissing ? `missing; write a value of type ${issue.expected}` : issue.message;
  return [withDescription(guide, issue, problem)];
}

/** Checks `value` against `schema`; never throws. */
export function readDocument<Schema extends z.ZodType>(
  schema: Schema,
  value: unknown,
): DocumentReading<z.output<Schema>> {
  const result = schema.safeParse(value);
  if (result.success) return { kind: 'valid', value: result.data };
  const guide = createSchemaGuide(schema);
  return {
    kind: 'invalid',
    problems: result.error.issues.flatMap((issue) => toProblems(guide, issue)),
  };
}

/** The problems as lines of text. */
export function describeProblems(problems: readonly DocumentProblem[]): string {
  return problems.map(({ path, problem }) => `  ${path}: ${problem}`).join('\n');
}

/** As `readDocument`, but throws the catalogue's error that names every mistake. */
export function requireDocument<Schema extends z.ZodType>(
  schema: Schema,
  value: unknown,
  document: string,
): z.output<Schema> {
  const reading = readDocument(schema, value);
  if (reading.kind === 'valid') return reading.value;
  const problems = describeProblems(reading.problems);
  throw gatewayError(ERRORS.documentInvalid, [document, problems], { step: 'check-document' });
}
