import type { Logger } from '../events';
import { MEMBERSHIP_EVENTS } from './events';
import type { MemberChange, MemberStatus } from './types';

function eventForStatus(status: MemberStatus) {
  switch (status) {
    case 'alive':
      return MEMBERSHIP_EVENTS.peerUp;
    case 'suspect':
      return MEMBERSHIP_EVENTS.peerSuspected;
    case 'leaving':
      return MEMBERSHIP_EVENTS.peerLeaving;
    case 'dead':
      return MEMBERSHIP_EVENTS.peerDown;
    default:
      return status satisfies never;
  }
}

/** Logs a change of another instance's liveness. */
export function logChange(logger: Logger, change: MemberChange): void {
  const { member, previousStatus, isNewLife } = change;
  if (member.status === previousStatus && !isNewLife) return;
  logger.event(eventForStatus(member.status), {
    peer: member.instanceId,
    region: member.region,
    failureDomain: member.failureDomain,
    incarnation: member.incarnation,
    life: member.life,
    previousStatus: previousStatus ?? null,
  });
}
