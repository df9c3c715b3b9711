import type { z } from 'zod';

/** Parses JSON text that matches a schema; undefined if the text is not JSON or does not match. */
export function parseJsonText<Schema extends z.ZodType>(
  schema: Schema,
  text: string,
): z.output<Schema> | undefined {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    return undefined;
  }
  return schema.safeParse(value).data;
}
