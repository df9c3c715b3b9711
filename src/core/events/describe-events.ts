import type { EventDefinition } from './types';

const HEADING = `# Events

Every log line is JSON with \`event\` (the number), \`name\`, \`level\`, \`message\`, \`timestamp\`, the
labels \`instance\` and \`region\`, and the facts of the case. Bodies, prompts and keys are never logged.
This page is made from the catalogue in the code by \`npm run generate:documents\`.

| number | name | level | what happened | what to do |
| ------ | ---- | ----- | ------------- | ---------- |
`;

/** The catalogue as a page. */
export function describeEvents(catalogue: readonly EventDefinition[]): string {
  const rows = catalogue.map(
    ({ id, name, level, text, action }) =>
      `| ${id} | \`${name}\` | ${level} | ${text} | ${action} |`,
  );
  return `${HEADING}${rows.join('\n')}\n`;
}
