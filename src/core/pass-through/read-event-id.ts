const ID_LINES = /^id: ?(.*)$/gm;

/** Returns the id of a server-sent event; undefined if it has none. The last one counts if it has several. */
export function readEventId(event: Buffer): string | undefined {
  const [, id] = [...event.toString('latin1').matchAll(ID_LINES)].at(-1) ?? [];
  return id?.trimEnd();
}
