/** Times at which this process stood still, and what must be renewed before it acts again. */
export { createPauseGuard, REFRESH_TIMEOUT_MS } from './create-pause-guard';
export type { Freshness, PauseGuard, Refresh } from './create-pause-guard';
export { PAUSE_EVENTS } from './events';
export { guardForwarder, guardSender } from './guard-sends';
export { createPeerRefresh } from './refresh-from-peers';
