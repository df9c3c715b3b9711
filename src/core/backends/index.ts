/** Backend servers: what is open there, and sending to them. */
export { createInFlight } from './in-flight';
export type { InFlight } from './in-flight';
export { evidenceAfterSending, evidenceOfFailure } from './evidence';
export { isEndToEndHeader } from '../pass-through/headers';
export { createServerSender } from './send-to-server';
export type { SendTarget, ServerSender } from './send-to-server';
