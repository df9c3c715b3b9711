/** Bytes of answers that an instance holds until more of them has arrived. */
export { createHeldBytes } from './held-bytes';
export type { HeldBytes } from './held-bytes';
export { createHoldingRoom } from './room';
export type { HoldingRoom, RoomHolder } from './room';
