/** Fakes that tests share. */
export { createFakeClock } from './fake-clock';
export type { FakeClock } from './fake-clock';
export { createMemoryLogger } from './memory-logger';
export type { MemoryLogger } from './memory-logger';
export { waitFor } from './wait-for';
