/** Chooses the server or the other region that gets a request. */
export { chooseRoute } from './choose-route';
export { chooseServer, chooseSparseServer } from './choose-server';
export type { ServerChoice, ServerChoiceInput } from './choose-server';
export { ROUTING_EVENTS } from './events';
export { createLongPromptPartition, LONG_PROMPT_TOKENS } from './long-prompts';
export type { LongPromptPartition } from './long-prompts';
export { createPrefixIndex, PREFIX_INDEX_DEFAULTS } from './prefix-index';
export type { PrefixEvent, PrefixIndex, PrefixIndexOptions } from './prefix-index';
export { createServerPool } from './server-pool';
export type { ServerPool } from './server-pool';
export type { OpenWork, PoolServer, ServerReport, ServerState } from './server-state';
export type { PeerCandidate, RoutingDecision, RoutingInput } from './types';
