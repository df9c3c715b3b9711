import { z } from 'zod';

/** Tells from a schema what belongs at a path, so that a mistake can be answered with what to write. */

interface SchemaNode {
  readonly description?: string;
  readonly properties?: Readonly<Record<string, SchemaNode>>;
  readonly items?: SchemaNode;
  readonly oneOf?: readonly SchemaNode[];
  readonly anyOf?: readonly SchemaNode[];
  readonly allOf?: readonly SchemaNode[];
}

function childrenOf(node: SchemaNode, part: PropertyKey): SchemaNode[] {
  const own = typeof part === 'number' ? node.items : node.properties?.[String(part)];
  const alternatives = [...(node.oneOf ?? []), ...(node.anyOf ?? []), ...(node.allOf ?? [])];
  const nested = alternatives.flatMap((alternative) => childrenOf(alternative, part));
  return own === undefined ? nested : [own, ...nested];
}

function nodesAt(root: SchemaNode, path: readonly PropertyKey[]): SchemaNode[] {
  let nodes = [root];
  for (const part of path) nodes = nodes.flatMap((node) => childrenOf(node, part));
  return nodes;
}

/** Answers what belongs where. */
export interface SchemaGuide {
  /** The schema's description of what stands at `path`, if it has one. */
  descriptionAt(path: readonly PropertyKey[]): string | undefined;
  /** Names of the keys that may stand in the object at `path`. */
  keysAt(path: readonly PropertyKey[]): string[];
}

/** A guide to `schema`; made once for a document, since a bad one may have thousands of mistakes. */
export function createSchemaGuide(schema: z.ZodType): SchemaGuide {
  const root = z.toJSONSchema(schema, { io: 'input', unrepresentable: 'any' }) as SchemaNode;
  return {
    descriptionAt: (path) =>
      nodesAt(root, path).find((node) => node.description !== undefined)?.description,
    keysAt: (path) => [
      ...new Set(nodesAt(root, path).flatMap((node) => Object.keys(node.properties ?? {}))),
    ],
  };
}
