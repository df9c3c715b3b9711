import { readFileSync } from 'node:fs';
import { ERRORS, errorText, gatewayError } from '../core/errors';

const STANDARD_INPUT = 0;

/** Reads a JSON document from a file, or from standard input for `-`; throws `DocumentUnreadable`. */
export function readJsonDocument(path: string): unknown {
  try {
    return JSON.parse(readFileSync(path === '-' ? STANDARD_INPUT : path, 'utf8'));
  } catch (error) {
    throw gatewayError(
      ERRORS.documentUnreadable,
      [path === '-' ? 'standard input' : path, errorText(error)],
      { step: 'read-document' },
      error,
    );
  }
}

/** As `readJsonDocument`, for a document that must be an object. */
export function readJsonObject(path: string): object {
  const value = readJsonDocument(path);
  if (typeof value === 'object' && value !== null && !Array.isArray(value)) return value;
  throw gatewayError(ERRORS.documentUnreadable, [path, 'it is not a JSON object'], {
    step: 'read-document',
  });
}
