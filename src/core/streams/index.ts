/** Streamed answers of models: passed on in whole events, and continued where an engine fails. */
export { STREAM_EVENTS } from './events';
export { serveStream } from './serve-stream';
export { createEventSplitter } from './split-events';
export type { EventSplitter } from './split-events';
