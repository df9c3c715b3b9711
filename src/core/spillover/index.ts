/** Decides which requests leave their home region, and which forwarded requests are accepted here. */
export { createSpillover } from './create-spillover';
export type { Spillover, SpilloverDependencies } from './create-spillover';
export { SPILLOVER_EVENTS } from './events';
export { mayAcceptForwarded } from './accept-forwarded';
export { spillableShareOfExcess } from './spill-share';
export type {
  ForwardResult,
  HomeOutlook,
  HomeReason,
  RemoteRegion,
  SpilloverDecision,
  SpilloverInput,
} from './types';
