import type { z } from 'zod';

/** Encodes records of one schema as rows: their values in the order of the schema's fields, without field names. */
export interface RowCodec<Schema extends z.ZodObject> {
  write(record: z.output<Schema>): readonly unknown[];
  /** Decodes a row; throws if it does not match the schema, and ignores values beyond the known fields. */
  read(row: readonly unknown[]): z.output<Schema>;
}

/** Creates a codec for the fields of `schema`. */
export function createRowCodec<Schema extends z.ZodObject>(schema: Schema): RowCodec<Schema> {
  const fields = Object.keys(schema.shape);
  return {
    write: (record) => fields.map((field) => record[field as keyof typeof record]),
    read: (row) =>
      schema.parse(Object.fromEntries(fields.map((field, index) => [field, row[index]]))),
  };
}
