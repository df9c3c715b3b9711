import type { ErrorDefinition, ErrorPlace } from './types';

/** The project's one error class: a catalogue entry, its message for this case, and where it arose. */
export class GatewayError extends Error {
  readonly title: string;

  readonly hint: string;

  readonly step: string;

  readonly peer: string | undefined;

  constructor(
    definition: Pick<ErrorDefinition, 'name' | 'title' | 'hint'>,
    message: string,
    place: ErrorPlace,
    cause?: unknown,
  ) {
    super(message, cause === undefined ? undefined : { cause });
    this.name = definition.name;
    this.title = definition.title;
    this.hint = definition.hint;
    this.step = place.step;
    this.peer = place.peer;
  }
}

/** Builds the error for a catalogue entry from the facts of the case. */
export function gatewayError<Args extends readonly unknown[]>(
  definition: ErrorDefinition<Args>,
  args: Args,
  place: ErrorPlace,
  cause?: unknown,
): GatewayError {
  return new GatewayError(definition, definition.message(...args), place, cause);
}

/** The text of anything that was thrown. */
export function errorText(error: unknown): string {
  if (!(error instanceof Error)) return String(error);
  if (error.message !== '') return error.message;
  return 'code' in error ? String(error.code) : error.name;
}
