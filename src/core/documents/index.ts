import type { z } from 'zod';
import { ERRORS, gatewayError } from '../errors';

/** One thing wrong with a document that people write. */
export interface DocumentProblem {
  /** Where, for example `/services/kit-assistant/regions/0`. */
  readonly path: string;
  /** What is wrong there and what would be right. */
  readonly problem: string;
}

/** What reading a document gives. */
export type DocumentReading<Value> =
  | { readonly kind: 'valid'; readonly value: Value }
  | { readonly kind: 'invalid'; readonly problems: readonly DocumentProblem[] };

function toPointer(path: readonly PropertyKey[]): string {
  if (path.length === 0) return '/';
  return path.map((part) => `/${String(part)}`).join('');
}

/** Checks `value` against `schema`; never throws. */
export function readDocument<Schema extends z.ZodType>(
  schema: Schema,
  value: unknown,
): DocumentReading<z.output<Schema>> {
  const result = schema.safeParse(value);
  if (result.success) return { kind: 'valid', value: result.data };
  return {
    kind: 'invalid',
    problems: result.error.issues.map((issue) => ({
      path: toPointer(issue.path),
      problem: issue.message,
    })),
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
