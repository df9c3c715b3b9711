import type { z } from 'zod';

/** Writes records of one shape as rows: the values in the order of the schema's fields, without their names. */
export interface RowCodec<Schema extends z.ZodObject> {
  write(record: z.output<Schema>): readonly unknown[];
  /** Throws where the row does not fit; values beyond the known fields are passed over. */
  read(row: readonly unknown[]): z.output<Schema>;
}

/** A codec for the fields of `schema`. */
export function createRowCodec<Schema extends z.ZodObject>(schema: Schema): RowCodec<Schema> {
  const fields = Object.keys(schema.shape);
  return {
    write: (record) => fields.map((field) => record[field as keyof typeof record]),
    read: (row) =>
      schema.parse(Object.fromEntries(fields.map((field, index) => [field, row[index]]))),
  };
}
