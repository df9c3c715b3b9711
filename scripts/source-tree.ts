import { existsSync, readdirSync } from 'node:fs';

/** The folders that hold TypeScript, those of them that a checkout has: git keeps no empty ones. */
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

/** Paths of all TypeScript files, generated ones left out, in order. */
export function listSourceFiles(): string[] {
  return SOURCE_ROOTS.flatMap((root) =>
    readdirSync(root, { recursive: true }).map((file) => `${root}/${String(file)}`),
  )
    .filter((path) => path.endsWith('.ts') && !path.startsWith('src/gen/'))
    .sort();
}
