/**
 * The two parts of the HTTP client that exchanges use, without the rest of the library: a process loads
 * what it imports before it can serve, and instances that lost power start with all callers waiting.
 */
export { default as buildConnector } from 'undici/lib/core/connect.js';
export { default as Client } from 'undici/lib/dispatcher/client.js';
