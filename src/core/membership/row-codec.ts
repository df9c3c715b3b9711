import type { z } from 'zod';

/** Encodes records of one schema as rows: their values in the order of the schema's fields, without field names. */
export interface RowCodec<Schema extends z.ZodObject> {
  write(record: z.output<Schema>): readonly unknown[];
  /**
   * Decodes a row; throws if it does not match the schema, and ignores values beyond the known fields. A row of an
   * older release is shorter, so fields that were added later have to be optional and last.
   */
  read(row: readonly unknown[]): z.output<Schema>;
}

/** Creates a codec for the fields of `schema`. */
export function createRowCodec<Schema extends z.ZodObject>(schema: Schema): RowCodec<Schema> {
  const fields = Object.keys(schema.shape);
  return {
    write(record) {
      const row: unknown[] = fields.map((field) => record[field as keyof typeof record]);
      // JSON would encode a trailing undefined value as null, which is not the same as a missing field.
      while (row.length > 0 && row.at(-1) === undefined) row.pop();
      return row;
    },
    read: (row) =>
      schema.parse(
        Object.fromEntries(fields.slice(0, row.length).map((field, index) => [field, row[index]])),
      ),
  };
}
