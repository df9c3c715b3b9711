import { existsSync, readdirSync } from 'node:fs';

/** Folders with TypeScript files. A checkout may lack some of them, since git does not store empty folders. */
const SOURCE_ROOTS = [
  'src',
  'platform',
  'standins',
  'bench',
  'checks',
  'demo',
  'scripts',
  'soak',
].filter((root) => existsSync(root));

/** Returns the paths of all TypeScript files except generated ones, sorted. */
export function listSourceFiles(): string[] {
  return SOURCE_ROOTS.flatMap((root) =>
    readdirSync(root, { recursive: true }).map((file) => `${root}/${String(file)}`),
  )
    .filter((path) => path.endsWith('.ts') && !path.startsWith('src/gen/'))
    .sort();
}
