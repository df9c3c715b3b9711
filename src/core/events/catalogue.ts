import { ACCOUNT_SHARE_EVENTS } from '../account-shares/events';
import { BRITTLE_SERVER_EVENTS } from '../brittle-servers/events';
import { STREAM_VERSION_EVENTS } from '../stream-versions/events';
import { CALL_EVENTS } from '../calls/events';
import { CALLER_LIMIT_EVENTS } from '../caller-limits/events';
import { CONFIGURATION_EVENTS } from '../configuration/events';
import { CONFIGURATION_SYNC_EVENTS } from '../configuration-sync/events';
import { CRASH_CAUSE_EVENTS } from '../crash-causes/events';
import { DRAINING_EVENTS } from '../draining/events';
import { ENGINE_ORDER_EVENTS } from '../engine-orders/events';
import { HTTP_EDGE_EVENTS } from '../http-edge/events';
import { FAILED_ASSERTION_EVENTS } from '../failed-assertions/events';
import { INTAKE_EVENTS } from '../intake/events';
import { LOAD_CONTROL_EVENTS } from '../load-control/events';
import { LOG_FLOW_EVENTS } from '../log-flow/events';
import { MEMBERSHIP_EVENTS } from '../membership/events';
import { NODE_EVENTS } from '../node/events';
import { OUTLIER_EVENTS } from '../outliers/events';
import { PASS_THROUGH_EVENTS } from '../pass-through/events';
import { PAUSE_EVENTS } from '../pauses/events';
import { POISON_EVENTS } from '../poison/events';
import { REACHABILITY_EVENTS } from '../reachability/events';
import { RELAY_NODE_EVENTS } from '../relay-node/events';
import { RETRY_EVENTS } from '../retries/events';
import { ROUTING_EVENTS } from '../routing/events';
import { SERVER_HEALTH_EVENTS } from '../server-health/events';
import { SERVER_LIMIT_EVENTS } from '../server-limits/events';
import { SERVER_NOTICE_EVENTS } from '../server-notices/events';
import { SERVING_EVENTS } from '../serving/events';
import { SPILLOVER_EVENTS } from '../spillover/events';
import { STATE_RELAY_EVENTS } from '../state-relay/events';
import { STATE_SYNC_EVENTS } from '../state-sync/events';
import { STREAM_EVENTS } from '../streams/events';
import { TICKET_EVENTS } from '../tickets/events';
import type { EventDefinition } from './types';

/**
 * Every event of the system. A slice defines its own in its `events.ts`, in a block of a hundred numbers,
 * and is named here once.
 */
export const EVENT_CATALOGUE: readonly EventDefinition[] = [
  NODE_EVENTS,
  HTTP_EDGE_EVENTS,
  ROUTING_EVENTS,
  SERVING_EVENTS,
  LOAD_CONTROL_EVENTS,
  MEMBERSHIP_EVENTS,
  CONFIGURATION_EVENTS,
  CONFIGURATION_SYNC_EVENTS,
  SERVER_HEALTH_EVENTS,
  DRAINING_EVENTS,
  PAUSE_EVENTS,
  ENGINE_ORDER_EVENTS,
  RETRY_EVENTS,
  POISON_EVENTS,
  TICKET_EVENTS,
  STREAM_EVENTS,
  OUTLIER_EVENTS,
  SPILLOVER_EVENTS,
  CALLER_LIMIT_EVENTS,
  STATE_SYNC_EVENTS,
  PASS_THROUGH_EVENTS,
  RELAY_NODE_EVENTS,
  LOG_FLOW_EVENTS,
  INTAKE_EVENTS,
  CALL_EVENTS,
  STATE_RELAY_EVENTS,
  SERVER_LIMIT_EVENTS,
  SERVER_NOTICE_EVENTS,
  ACCOUNT_SHARE_EVENTS,
  REACHABILITY_EVENTS,
  BRITTLE_SERVER_EVENTS,
  STREAM_VERSION_EVENTS,
  CRASH_CAUSE_EVENTS,
  FAILED_ASSERTION_EVENTS,
]
  .flatMap((events): EventDefinition[] => Object.values(events))
  .sort((left, right) => left.id - right.id);
