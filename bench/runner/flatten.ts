/** One number of a bench's JSON, under the path at which it stands. */
export interface NamedFigure {
  readonly path: string;
  readonly value: number;
}

function keyOf(item: unknown, index: number): string {
  const hasName = typeof item === 'object' && item !== null && 'name' in item;
  return hasName ? String(item.name) : String(index);
}

/**
 * All numbers in a bench's JSON. Items of a list go by their `name` where they have one, so that a path stays
 * the same when the list grows.
 */
export function flattenFigures(value: unknown, path = ''): NamedFigure[] {
  if (typeof value === 'number') return [{ path, value }];
  if (typeof value !== 'object' || value === null) return [];
  const at = (key: string) => (path === '' ? key : `${path}/${key}`);
  if (Array.isArray(value)) {
    return value.flatMap((item, index) => flattenFigures(item, at(keyOf(item, index))));
  }
  return Object.entries(value).flatMap(([key, item]) => flattenFigures(item, at(key)));
}
