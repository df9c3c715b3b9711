/** Bytes that an instance holds: bodies of requests, and parts of answers until more of them has arrived. */
export { createBodyRoom } from './body-room';
export type { BodyPlace, BodyReservation, BodyRoom } from './body-room';
export { createHeldBytes } from './held-bytes';
export type { HeldBytes } from './held-bytes';
export { shareMemory } from './memory-shares';
export { SMALL_BODY_BYTES, createRequestBody } from './request-body';
export type { RequestBody } from './request-body';
export { createHoldingRoom } from './room';
export type { HoldingRoom, RoomHolder } from './room';
