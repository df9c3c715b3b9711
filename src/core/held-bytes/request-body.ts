/** Body of a request, kept as it came while the request may have to be sent. */
export interface RequestBody {
  /** Length of the whole body, bytes, also once it has been let go. */
  readonly length: number;
  /** Whether the body has been let go, so that the request can't be sent any more. */
  readonly isReleased: boolean;
  /** Returns the parts of the body in their order; none once it has been let go. */
  parts(): readonly Uint8Array[];
  /** Lets the body go, and gives back the room that it takes. */
  release(): void;
}

/** Maximum size of a usual body, bytes: it is always read, and kept until its request has ended. */
export const SMALL_BODY_BYTES = 65_536;

/** Creates the body that consists of `parts`. */
export function createRequestBody(
  parts: readonly Uint8Array[],
  onReleased: () => void = () => {},
): RequestBody {
  const length = parts.reduce((sum, part) => sum + part.length, 0);
  let kept = parts;
  let isReleased = false;
  return {
    length,
    get isReleased() {
      return isReleased;
    },
    parts: () => kept,
    release() {
      if (isReleased) return;
      isReleased = true;
      kept = [];
      onReleased();
    },
  };
}
