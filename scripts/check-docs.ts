import { existsSync, readFileSync, readdirSync } from 'node:fs';
import { dirname, join } from 'node:path';

/**
 * Checks the pages: relative links and their headings must resolve, each `npm run NAME` must be a script, and each path of
 * the tree in backticks must exist.
 */

interface Complaint {
  readonly page: string;
  readonly problem: string;
}

const PAGE_FOLDERS = ['.', 'docs', 'docs/design', 'docs/operators', 'traces'];
const LINK = /\]\(([^)\s]+)\)/g;
const NPM_RUN = /npm run (?:-s |--silent )?([\w:.-]+)/g;
const TREE_PATH =
  /`((?:src|bench|checks|demo|docs|proto|samples|schemas|scripts|standins|traces)\/[^`\s*{}<>]*)`/g;
const HEADING = /^#+ +(.+)$/gm;

function readPages(): string[] {
  return PAGE_FOLDERS.filter((folder) => existsSync(folder)).flatMap((folder) =>
    readdirSync(folder)
      .filter((file) => file.endsWith('.md'))
      .map((file) => join(folder, file)),
  );
}

function anchorsOf(path: string): Set<string> {
  const headings = [...readFileSync(path, 'utf8').matchAll(HEADING)].map(([, text]) => text ?? '');
  return new Set(
    headings.map((text) =>
      text
        .toLowerCase()
        .replaceAll(/[^\p{L}\p{N} _-]/gu, '')
        .trim()
        .replaceAll(' ', '-'),
    ),
  );
}

function linkProblem(page: string, target: string): string | undefined {
  if (/^[a-z]+:/.test(target)) return undefined;
  const [file = '', anchor] = target.split('#');
  const path = file === '' ? page : join(dirname(page), file);
  if (!existsSync(path)) return `link to ${target}: no such file`;
  if (anchor !== undefined && path.endsWith('.md') && !anchorsOf(path).has(anchor)) {
    return `link to ${target}: no such heading`;
  }
  return undefined;
}

function matchesOf(text: string, pattern: RegExp): string[] {
  return [...text.matchAll(pattern)].map(([, found]) => found ?? '');
}

function checkPage(page: string, scripts: ReadonlySet<string>): Complaint[] {
  const text = readFileSync(page, 'utf8');
  const links = matchesOf(text, LINK).map((target) => linkProblem(page, target));
  const commands = matchesOf(text, NPM_RUN)
    .filter((name) => !scripts.has(name))
    .map((name) => `npm run ${name}: no such script`);
  const paths = matchesOf(text, TREE_PATH)
    .filter((path) => !existsSync(path))
    .map((path) => `${path}: no such file`);
  return [...links, ...commands, ...paths]
    .filter((problem) => problem !== undefined)
    .map((problem) => ({ page, problem }));
}

const manifest = JSON.parse(readFileSync('package.json', 'utf8')) as {
  scripts: Record<string, string>;
};
const scripts = new Set(Object.keys(manifest.scripts));
const pages = readPages();
const complaints = pages.flatMap((page) => checkPage(page, scripts));
for (const { page, problem } of complaints) console.error(`${page}: ${problem}`);
console.log(`${pages.length} pages, ${complaints.length} complaints`);
process.exitCode = complaints.length === 0 ? 0 : 1;
