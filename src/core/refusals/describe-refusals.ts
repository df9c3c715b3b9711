import { REFUSALS } from './catalogue';
import { PROBLEM_TYPE_PREFIX } from './problem';

const HEADING = `# Refusals

A refusal is \`application/problem+json\` (RFC 9457). Beside \`type\`, \`title\`, \`status\` and \`detail\` it has
\`outcome\` (\`notRun\`: the request did not run and never will; \`ran\`: it ran, and its answer is no longer held;
\`unknown\`: nobody can say), \`step\`, often
\`peer\`, \`requestId\`, \`hint\`, and \`retryAtUnixMs\` beside \`Retry-After\` where waiting helps.
This page is made from the catalogue in the code by \`npm run generate:documents\`.

| type | status | what it means | what to do |
| ---- | ------ | ------------- | ---------- |
`;

/** The catalogue of refusals as a page. */
export function describeRefusals(): string {
  const rows = Object.values(REFUSALS).map(
    ({ slug, status, title, hint }) =>
      `| \`${PROBLEM_TYPE_PREFIX}${slug}\` | ${status} | ${title} | ${hint} |`,
  );
  return `${HEADING}${rows.join('\n')}\n`;
}
