const ID_LINE = /^id: ?(.*)$/m;

/** The id of one server-sent event; undefined where it has none. */
export function readEventId(event: Buffer): string | undefined {
  return ID_LINE.exec(event.toString('latin1'))?.[1]?.trimEnd();
}
