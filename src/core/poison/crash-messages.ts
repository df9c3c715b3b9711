import { z } from 'zod';
import { parseJsonText } from '../json-text';
import type { PoisonStatement } from './statement';

/**
 * Messages by which instances tell one another of crashes directly. Times are sent as ages, because the wall clocks of two
 * instances may differ by more than what tells two crashes apart.
 */

const toldStatementSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('crashed'),
    fingerprint: z.string(),
    marks: z.array(z.object({ tryId: z.string(), serverId: z.string(), ageMs: z.number() })).max(8),
  }),
  z.object({ kind: z.literal('cleared'), fingerprint: z.string(), ageMs: z.number() }),
]);

const messageSchema = z.object({
  kind: z.literal('requestCrashes'),
  /** Instance that sends the message. */
  from: z.string(),
  statements: z.array(toldStatementSchema),
});

type ToldStatement = z.output<typeof toldStatementSchema>;

/** A statement about the request with this fingerprint. */
export interface FingerprintStatement {
  readonly fingerprint: string;
  readonly statement: PoisonStatement;
}

/** Statements of another instance. */
export interface CrashMessage {
  readonly from: string;
  readonly statements: readonly FingerprintStatement[];
}

/** Maximum size of a message, characters, all of which are ASCII; it fits into one network frame. */
const MAX_MESSAGE_CHARACTERS = 1_300;

function toTold(
  { fingerprint, statement }: FingerprintStatement,
  nowUnixMs: number,
): ToldStatement {
  if (statement.kind === 'cleared') {
    return { kind: 'cleared', fingerprint, ageMs: nowUnixMs - statement.atUnixMs };
  }
  const marks = statement.marks.map(({ atUnixMs, ...mark }) => ({
    ...mark,
    ageMs: nowUnixMs - atUnixMs,
  }));
  return { kind: 'crashed', fingerprint, marks };
}

function fromTold(told: ToldStatement, nowUnixMs: number): FingerprintStatement {
  const { fingerprint } = told;
  if (told.kind === 'cleared') {
    return { fingerprint, statement: { kind: 'cleared', atUnixMs: nowUnixMs - told.ageMs } };
  }
  const marks = told.marks.map(({ ageMs, ...mark }) => ({ ...mark, atUnixMs: nowUnixMs - ageMs }));
  return { fingerprint, statement: { kind: 'crashed', marks } };
}

/** Serializes statements to as few messages as they fit into. */
export function serializeCrashMessages(
  from: string,
  statements: readonly FingerprintStatement[],
  nowUnixMs: number,
): readonly string[] {
  const write = (told: readonly ToldStatement[]) =>
    JSON.stringify({ kind: 'requestCrashes', from, statements: told });
  const emptyCharacters = write([]).length;
  const messages: ToldStatement[][] = [];
  let characters = Infinity;
  for (const statement of statements) {
    const told = toTold(statement, nowUnixMs);
    const added = JSON.stringify(told).length + 1;
    if (characters + added > MAX_MESSAGE_CHARACTERS) {
      messages.push([]);
      characters = emptyCharacters;
    }
    messages.at(-1)?.push(told);
    characters += added;
  }
  return messages.map(write);
}

/** Parses a message; undefined if the text is not a valid one. */
export function parseCrashMessage(text: string, nowUnixMs: number): CrashMessage | undefined {
  const message = parseJsonText(messageSchema, text);
  if (message === undefined) return undefined;
  return {
    from: message.from,
    statements: message.statements.map((told) => fromTold(told, nowUnixMs)),
  };
}
