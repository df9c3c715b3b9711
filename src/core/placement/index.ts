/** Decides which backend server, in which region, a request goes to. */
export { chooseRegion } from './choose-region';
export type { RegionChoice, RegionInput, RegionOption } from './choose-region';
export { chooseServer, predictFirstByteMs } from './choose-server';
export type { ServerChoice } from './choose-server';
export { createPredictionCorrection } from './prediction-correction';
export type { PredictionCorrection } from './prediction-correction';
export { createPrefixCacheView } from './prefix-cache-view';
export type { PrefixCacheView } from './prefix-cache-view';
export { createReturnSchedule } from './return-schedule';
export type { ReturnSchedule } from './return-schedule';
export { createServerLoads } from './server-load';
export type { ServerLoads } from './server-load';
export { createServicePaces } from './service-paces';
export type { ServicePaces } from './service-paces';
export { createSpillWindows } from './spill-windows';
export type { SpillSeen, SpillWindows } from './spill-windows';
export type { Candidate, LoadReport, ModelDemand, PromptPart, ServicePace } from './types';
