import type { MemberRecord } from '../membership';

/** What `GET /status` tells operators of one instance and of the fleet as it sees it. */
export interface InstanceStatus {
  readonly instanceId: string;
  readonly version: string;
  readonly region: string;
  readonly failureDomain: string;
  readonly ready: boolean;
  readonly configurationVersion: number;
  readonly inFlightRequests: number;
  readonly members: readonly MemberRecord[];
}
