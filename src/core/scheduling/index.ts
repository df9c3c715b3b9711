/** Combines admission, queueing and routing of a service, without timers or I/O. */
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
