/**
 * The parts of the HTTP client that exchanges use, without the rest of the library: a process loads its imports
 * before it can serve, and after a power loss instances start while all callers wait.
 */
export { default as buildConnector } from 'undici/lib/core/connect.js';
export { default as Client } from 'undici/lib/dispatcher/client.js';
export { default as clientSymbols } from 'undici/lib/core/symbols.js';
