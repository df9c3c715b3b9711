import type { Clock } from '../clock';
import { SMALL_BODY_BYTES } from './request-body';

/** Room of one instance for the bodies of requests. */
export interface BodyRoom {
  /** Reserves room for a body before it is read. `account` is the client account that sends it, if it has one. */
  reserve(bytes: number, account: string | undefined): BodyReservation;
  /** Number of bytes that are reserved. */
  heldBytes(): number;
}

/** There is no room for a body. */
export interface BodyDenial {
  readonly kind: 'denied';
  /** Time after which there should be room, ms; undefined if there never is, as the body is larger than all of it. */
  readonly retryAfterMs: number | undefined;
}

/** Whether a body may be read. */
export type BodyReservation = { readonly kind: 'granted'; readonly place: BodyPlace } | BodyDenial;

/** Room that one body takes until it is disposed of. */
export interface BodyPlace extends Disposable {
  /** Reserves room for a body that has turned out to have `bytes`; returns undefined if there is some. */
  grow(bytes: number): BodyDenial | undefined;
}

/** Options of `createBodyRoom`. */
export interface BodyRoomOptions {
  readonly clock: Pick<Clock, 'monotonicMs'>;
  /** Bytes that bodies may take together, without small ones. */
  readonly totalBytes: number;
}

/** Part of the room that one client account may take. */
const MAX_ACCOUNT_SHARE = 0.75;
/** Time for which a body is supposed to be kept before any has been let go, ms. */
const INITIAL_HOLD_MS = 1_000;
/** Weight of the latest body in the mean time for which bodies are kept. */
const HOLD_WEIGHT = 0.1;
const MIN_RETRY_MS = 50;
const MAX_RETRY_MS = 5_000;

/**
 * Creates an empty room.
 *
 * Each body is kept until it need not be sent again. Without a bound, callers that send large ones at the same time would
 * take more memory than the process has, and it would end with all its requests. Small ones are always read, so that usual
 * requests are served beside large ones.
 */
export function createBodyRoom({ clock, totalBytes }: BodyRoomOptions): BodyRoom {
  const bytesByAccount = new Map<string, number>();
  let heldBytes = 0;
  let meanHoldMs = INITIAL_HOLD_MS;

  const heldBy = (account: string | undefined): number =>
    account === undefined ? 0 : (bytesByAccount.get(account) ?? 0);

  const add = (bytes: number, account: string | undefined): void => {
    heldBytes += bytes;
    if (account === undefined) return;
    const accountBytes = heldBy(account) + bytes;
    if (accountBytes === 0) bytesByAccount.delete(account);
    else bytesByAccount.set(account, accountBytes);
  };

  /** Returns the time until `missingBytes` of `takenBytes` should be free, ms: bodies are let go evenly. */
  const waitMs = (missingBytes: number, takenBytes: number): number =>
    Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, (missingBytes / takenBytes) * meanHoldMs));

  /** Returns why a body of `bytes` can't have `moreBytes`; undefined if it can. */
  const findDenial = (
    bytes: number,
    moreBytes: number,
    account: string | undefined,
  ): BodyDenial | undefined => {
    if (bytes <= SMALL_BODY_BYTES) return undefined;
    const ofAll = { maxBytes: totalBytes, takenBytes: heldBytes };
    const ofAccount = { maxBytes: MAX_ACCOUNT_SHARE * totalBytes, takenBytes: heldBy(account) };
    const bounds = account === undefined ? [ofAll] : [ofAll, ofAccount];
    for (const { maxBytes, takenBytes } of bounds) {
      const missingBytes = takenBytes + moreBytes - maxBytes;
      if (missingBytes <= 0) continue;
      const retryAfterMs = bytes > maxBytes ? undefined : waitMs(missingBytes, takenBytes);
      return { kind: 'denied', retryAfterMs };
    }
    return undefined;
  };

  const open = (firstBytes: number, account: string | undefined): BodyPlace => {
    let bytes = firstBytes;
    let isOver = false;
    const sinceMs = clock.monotonicMs();
    add(bytes, account);
    return {
      grow(neededBytes) {
        if (isOver || neededBytes <= bytes) return undefined;
        const denial = findDenial(neededBytes, neededBytes - bytes, account);
        if (denial !== undefined) return denial;
        add(neededBytes - bytes, account);
        bytes = neededBytes;
        return undefined;
      },
      [Symbol.dispose]() {
        if (isOver) return;
        isOver = true;
        add(-bytes, account);
        if (bytes <= SMALL_BODY_BYTES) return;
        meanHoldMs += HOLD_WEIGHT * (clock.monotonicMs() - sinceMs - meanHoldMs);
      },
    };
  };

  return {
    heldBytes: () => heldBytes,
    reserve(bytes, account) {
      return findDenial(bytes, bytes, account) ?? { kind: 'granted', place: open(bytes, account) };
    },
  };
}
