/** Admission, queueing and routing of a service put together, as pure code. */
export { createServiceScheduler } from './create-service-scheduler';
export type {
  ExpiredRequest,
  Offer,
  Outlook,
  Placement,
  PlacementResult,
  RefusalReason,
  ScheduledRequest,
  SchedulerOptions,
  ServiceScheduler,
} from './types';
