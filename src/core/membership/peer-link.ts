import type { Cursors, ExchangeMessage } from './messages';
import { START_CURSORS } from './messages';

/**
 * Synchronization state with the instance at one address, as kept by the side that sends requests. Positions refer to
 * the logs of one process; when another process replies at the address, synchronization starts over.
 */
export interface PeerLink {
  /** Token of the process that replies there; 0 before the first reply. */
  readonly processToken: number;
  readonly instanceId: string | undefined;
  readonly region: string | undefined;
  /** Positions up to which this instance has read the peer's logs. */
  readonly have: Cursors;
  /** Positions up to which the peer has read the own logs; undefined until its first reply shows what it lacks. */
  readonly sent: Cursors | undefined;
  /** Number of consecutive exchanges after which the views still differed although nothing remained to be sent. */
  readonly differingCount: number;
  /** Liveness hashes that the peer reported as known; they are skipped while the two catch up. */
  readonly livenessKnownToPeer: ReadonlySet<number>;
  /** Whether the peer has further members for this instance that did not fit into its last message. */
  readonly isCatchingUp: boolean;
}

/** Link to an address from which no reply has arrived yet. */
export const NEW_LINK: PeerLink = {
  processToken: 0,
  instanceId: undefined,
  region: undefined,
  have: START_CURSORS,
  sent: undefined,
  differingCount: 0,
  livenessKnownToPeer: new Set(),
  isCatchingUp: true,
};

/**
 * Number of consecutive differing exchanges after which views are exchanged in full. Updates in transit make views
 * differ for a moment; a lasting difference means that an update was lost, for example because two processes use one
 * instance id.
 */
const MAX_DIFFERING_EXCHANGES = 10;

/** State of the sender at the time of a request. */
export interface RequestState {
  readonly upTo: Cursors;
  readonly tips: Cursors;
  readonly viewDigest: number;
}

/** Returns the link updated after a further reply of the same process; a new link if the views differ for too long. */
function advanceLink(link: PeerLink, reply: ExchangeMessage, senderState: RequestState): PeerLink {
  const viewsAgree = reply.viewDigest === senderState.viewDigest;
  const hasNoMembers = reply.members.length === 0;
  const differingCount = viewsAgree || !hasNoMembers ? 0 : link.differingCount + 1;
  const isCatchingUp = reply.moreMembers;
  const hasSentAll = senderState.upTo.members >= senderState.tips.members;
  const livenessKnownToPeer = hasSentAll ? NEW_LINK.livenessKnownToPeer : link.livenessKnownToPeer;
  if (differingCount < MAX_DIFFERING_EXCHANGES) {
    const cursors = { have: reply.upTo, sent: senderState.upTo };
    return { ...link, ...cursors, differingCount, livenessKnownToPeer, isCatchingUp };
  }
  return { ...NEW_LINK, region: link.region, instanceId: link.instanceId };
}

/** Returns the link updated after a reply. */
export function updateLink(
  link: PeerLink,
  reply: ExchangeMessage,
  senderState: RequestState,
): PeerLink {
  const { processToken, instanceId, region } = reply.from;
  if (link.processToken === processToken && link.sent !== undefined) {
    return advanceLink(link, reply, senderState);
  }
  const viewsAgree = reply.viewDigest === senderState.viewDigest;
  const members = viewsAgree ? senderState.tips.members : 0;
  return {
    processToken,
    instanceId,
    region,
    have: reply.upTo,
    sent: { ...START_CURSORS, members },
    differingCount: 0,
    livenessKnownToPeer: new Set(reply.knownLiveness),
    isCatchingUp: reply.moreMembers,
  };
}
