import { PASS_THROUGH_EVENTS } from '../../src/core/pass-through/events';
import type { RequestLine } from './read-log';

/** What a refusal as overloaded rested on, and the room at that moment. */
export interface RefusalGround {
  /** The bound that the prediction exceeded with its largest part, or why no server was weighed. */
  readonly ground: string;
  readonly room: 'servers idle here' | 'slots free elsewhere' | 'no room known';
}

function roomOf({ idleServers = 0, freeSlotsElsewhere = 0 }: RequestLine['event']) {
  if (idleServers > 0) return 'servers idle here';
  return freeSlotsElsewhere > 0 ? 'slots free elsewhere' : 'no room known';
}

function groundOf({ exceeded, largestPart, absence }: RequestLine['event']): string {
  if (exceeded !== undefined) return `${exceeded}, most of it ${largestPart ?? 'unknown'}`;
  return absence === undefined ? 'none stated' : `no server: ${absence}`;
}

/** Returns the grounds of each refusal as overloaded; a request that several instances refused has several. */
export function readRefusalGrounds(lines: readonly RequestLine[]): readonly RefusalGround[] {
  return lines
    .map(({ event }) => event)
    .filter(
      ({ event, reason }) => event === PASS_THROUGH_EVENTS.refused.id && reason === 'overloaded',
    )
    .map((event) => ({ ground: groundOf(event), room: roomOf(event) }));
}
