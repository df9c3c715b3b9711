/** Fakes that tests share. */
export { endChildrenWithProcess } from './end-children';
export { createFakeClock } from './fake-clock';
export type { FakeClock } from './fake-clock';
export { freePort } from './free-port';
export { createMemoryLogger } from './memory-logger';
export type { MemoryLogger } from './memory-logger';
export { createSteppedClock } from './stepped-clock';
export type { SteppedClock } from './stepped-clock';
export { waitFor } from './wait-for';
