/** How much work a request probably is, told from its size and without parsing it. */
export type { PrefixBlock, WorkEstimate } from './types';
export { engineWork, OUTPUT_TOKEN_WEIGHT, PLAIN_WORK } from './units';
