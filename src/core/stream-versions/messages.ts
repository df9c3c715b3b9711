import { z } from 'zod';
import { parseJsonText } from '../json-text';

/** Maximum length of a name in a message, characters. */
const MAX_NAME_CHARACTERS = 256;

const nameSchema = z.string().max(MAX_NAME_CHARACTERS);

/** Maximum versions that one message tells of. */
export const MAX_VERSIONS_TOLD = 64;

/** Schema of the messages between instances about the versions of streams. */
const messageSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('streamsBegan'),
    streams: z.array(
      z.object({
        key: nameSchema,
        service: nameSchema,
        softwareVersion: nameSchema,
        /** Time since the stream began, ms. */
        ageMs: z.number().min(0),
        /** Time for which the version is to be kept, ms. */
        keepForMs: z.number().min(0),
      }),
    ),
  }),
  z.object({
    kind: z.literal('streamVersionAsk'),
    askId: nameSchema,
    /** Address of the instance that asks. */
    address: nameSchema,
    key: nameSchema,
  }),
  z.object({
    kind: z.literal('streamVersionAnswer'),
    askId: nameSchema,
    service: nameSchema,
    /** Empty if the version is not known here; several if the stream is ambiguous. */
    softwareVersions: z.array(nameSchema),
    /** Time since the stream began, ms. */
    ageMs: z.number().min(0),
  }),
  z.object({
    kind: z.literal('knownVersionsAsk'),
    askId: nameSchema,
    /** Address of the instance that asks. */
    address: nameSchema,
  }),
  z.object({
    kind: z.literal('knownVersionsAnswer'),
    askId: nameSchema,
    /** Time before the position for which all published changes are known to the instance that answers, ms. */
    knownForMs: z.number().min(0),
    /** Whether it follows the published state, so that it knows the changes up to now. */
    isCurrent: z.boolean(),
    /** Position in published state up to which it knows them; both are 0 if it knows none. */
    era: z.number(),
    revision: z.number(),
    /** Versions that serve or have served lately, also those that it has heard of from others. */
    versions: z
      .array(
        z.object({
          service: nameSchema,
          softwareVersion: nameSchema,
          /** Time since a server of the version was last known, ms. */
          seenAgoMs: z.number().min(0),
        }),
      )
      .max(MAX_VERSIONS_TOLD),
    /** Version of the route table in force. */
    tableVersion: z.number(),
    /** Services to which routes have led lately, and lead no more. */
    formerTargets: z
      .array(
        z.object({
          route: nameSchema,
          service: nameSchema,
          /** Time since the route led there, ms. */
          seenAgoMs: z.number().min(0),
        }),
      )
      .max(MAX_VERSIONS_TOLD),
  }),
]);

/** A message about versions of streams. */
export type StreamVersionMessage = z.output<typeof messageSchema>;

/** A stream in a message that tells of streams. */
export type ToldStream = Extract<StreamVersionMessage, { kind: 'streamsBegan' }>['streams'][number];

/** What an instance answers when it is asked which versions it knows. */
export type KnownVersionsAnswer = Extract<StreamVersionMessage, { kind: 'knownVersionsAnswer' }>;

const OWN_KINDS =
  /^\{"kind":"(?:stream(?:sBegan|VersionAsk|VersionAnswer)|knownVersions(?:Ask|Answer))"/u;

/** Serializes a message to text. */
export function serializeStreamVersionMessage(message: StreamVersionMessage): string {
  return JSON.stringify(message);
}

/** Parses a message; undefined if the text is not a valid one. */
export function parseStreamVersionMessage(text: string): StreamVersionMessage | undefined {
  // Texts of other kinds arrive dozens of times a second, and need not be parsed here.
  return OWN_KINDS.test(text) ? parseJsonText(messageSchema, text) : undefined;
}
