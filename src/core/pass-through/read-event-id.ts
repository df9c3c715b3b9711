const ID_LINE = /^id: ?(.*)$/m;

/** Returns the id of a server-sent event; undefined if it has none. */
export function readEventId(event: Buffer): string | undefined {
  return ID_LINE.exec(event.toString('latin1'))?.[1]?.trimEnd();
}
