/** Estimates the work of a request from its size, without parsing it. */
export { createOutputEstimator } from './output-estimator';
export type { OutputEstimator } from './output-estimator';
export type { EngineDemand, PrefixBlock, WorkEstimate } from './types';
export { engineWork, OUTPUT_TOKEN_WEIGHT, PLAIN_WORK } from './units';
