import { GatewayError } from '../errors';
import type { ErrorPlace } from '../errors';
import { judgeOutcome } from '../outcomes';
import type { Evidence, Outcome } from '../outcomes';
import type { RefusalDefinition } from './catalogue';

/** A ticket with which a call that did not run may be sent again. */
export interface RefusalTicket {
  readonly ticket: string;
  readonly expiresAtUnixMs: number;
}

/** An instance that the caller may use instead. */
export interface RefusalEntry {
  readonly instanceId: string;
  /** host:port for callers. */
  readonly address: string;
  readonly region: string;
  readonly failureDomain: string;
}

/** The facts of one refusal. */
export interface RefusalCase extends ErrorPlace {
  /** What happened this time, for a person to read. */
  readonly detail: string;
  readonly evidence: Evidence;
  /** When trying again is likely to help; absent where waiting helps nothing. */
  readonly retryAtUnixMs?: number | undefined;
  readonly cause?: unknown;
  readonly ticket?: RefusalTicket | undefined;
  readonly entries?: readonly RefusalEntry[] | undefined;
}

/** A request that is refused, on its way to whoever answers the caller. */
export class RefusalError extends GatewayError {
  readonly definition: RefusalDefinition;

  readonly evidence: Evidence;

  readonly retryAtUnixMs: number | undefined;

  readonly ticket: RefusalTicket | undefined;

  readonly entries: readonly RefusalEntry[] | undefined;

  constructor(definition: RefusalDefinition, refusal: RefusalCase) {
    super(
      { name: definition.slug, title: definition.title, hint: definition.hint },
      refusal.detail,
      refusal,
      refusal.cause,
    );
    this.definition = definition;
    this.evidence = refusal.evidence;
    this.retryAtUnixMs = refusal.retryAtUnixMs;
    this.ticket = refusal.ticket;
    this.entries = refusal.entries;
  }

  /** The same refusal with other facts in some places. */
  with(changes: Partial<RefusalCase>): RefusalError {
    const { definition, message, step, peer, evidence, retryAtUnixMs, cause, ticket, entries } =
      this;
    return new RefusalError(definition, {
      detail: message,
      step,
      ...(peer === undefined ? {} : { peer }),
      evidence,
      retryAtUnixMs,
      cause,
      ticket,
      entries,
      ...changes,
    });
  }

  /** What the caller is told about whether the request ran. */
  get outcome(): Outcome {
    return judgeOutcome(this.evidence);
  }
}
