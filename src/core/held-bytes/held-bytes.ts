/** Bytes of an answer that are held until more of it has arrived. */
export interface HeldBytes {
  readonly length: number;
  /** Copies `chunk` to the end. */
  add(chunk: Uint8Array): void;
  /** Returns all bytes in one buffer, and holds none any more. */
  take(): Buffer;
  /** Returns all bytes in the buffers that they are in, and holds none any more. */
  takeParts(): readonly Buffer[];
}

/** Minimum size of a block, bytes: that of a usual event. */
const MIN_BLOCK_BYTES = 512;
/** Maximum size of a block that is allocated before its bytes have arrived, bytes. */
const MAX_SPARE_BYTES = 65_536;

/**
 * Holds no bytes at first. They are kept in blocks, so that each byte is copied twice at most, and chunks of a byte each
 * take no object each.
 */
export function createHeldBytes(): HeldBytes {
  let blocks: Buffer[] = [];
  let lastUsed = 0;
  let length = 0;

  const addBlock = (minBytes: number): Buffer => {
    const spareBytes = Math.min(MAX_SPARE_BYTES, Math.max(MIN_BLOCK_BYTES, length));
    const block = Buffer.allocUnsafeSlow(Math.max(minBytes, spareBytes));
    blocks.push(block);
    lastUsed = 0;
    return block;
  };

  const fill = (block: Buffer, chunk: Uint8Array): Uint8Array => {
    const part = chunk.subarray(0, block.length - lastUsed);
    block.set(part, lastUsed);
    lastUsed += part.length;
    length += part.length;
    return chunk.subarray(part.length);
  };

  const takeParts = (): readonly Buffer[] => {
    const last = blocks.pop();
    const parts = last === undefined ? blocks : [...blocks, last.subarray(0, lastUsed)];
    blocks = [];
    length = 0;
    lastUsed = 0;
    return parts;
  };

  return {
    get length() {
      return length;
    },
    add(chunk) {
      const last = blocks.at(-1);
      const left = last === undefined ? chunk : fill(last, chunk);
      if (left.length > 0) fill(addBlock(left.length), left);
    },
    take() {
      const wholeBytes = length;
      const [only, ...others] = takeParts();
      return only !== undefined && others.length === 0
        ? only
        : Buffer.concat(only === undefined ? [] : [only, ...others], wholeBytes);
    },
    takeParts,
  };
}
