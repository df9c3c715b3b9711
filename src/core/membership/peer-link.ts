import type { Cursors, ExchangeMessage } from './messages';
import { NO_CURSORS } from './messages';

/**
 * Where two instances stand with one another, as the one knows that asks. Positions count in the logs of one
 * process; when another process answers at the address, both sides start again.
 */
export interface PeerLink {
  /** Process that answers there; 0 before the first answer. */
  readonly processToken: number;
  readonly instanceId: string | undefined;
  readonly region: string | undefined;
  /** How much of the peer's logs has been read here. */
  readonly have: Cursors;
  /** How much of the own logs the peer has read; undefined until its first answer shows what it lacks. */
  readonly sent: Cursors | undefined;
  /** Exchanges in a row after which the views still differed though nothing was left to send. */
  readonly differingCount: number;
  /** Hashes of liveness that the peer said it knows; they are not sent while it is caught up with. */
  readonly peerKnows: ReadonlySet<number>;
  /** Whether the peer still has members for this instance that had no room. */
  readonly isCatchingUp: boolean;
}

/** Nothing is known of the peer. */
export const NEW_LINK: PeerLink = {
  processToken: 0,
  instanceId: undefined,
  region: undefined,
  have: NO_CURSORS,
  sent: undefined,
  differingCount: 0,
  peerKnows: new Set(),
  isCatchingUp: true,
};

/**
 * Exchanges after which differing views are exchanged whole. News on its way makes views differ for a moment;
 * a difference that stays means that something was lost, for instance over two processes of one name.
 */
const WHOLE_VIEW_AFTER_DIFFERING = 10;

/** What the asking side knew when it sent. */
export interface SentState {
  readonly upTo: Cursors;
  readonly tips: Cursors;
  readonly viewDigest: number;
}

function readOn(link: PeerLink, answer: ExchangeMessage, sent: SentState): PeerLink {
  const isEqual = answer.viewDigest === sent.viewDigest;
  const isIdle = answer.members.length === 0;
  const differingCount = isEqual || !isIdle ? 0 : link.differingCount + 1;
  const isCatchingUp = answer.moreMembers;
  const hasSentAll = sent.upTo.members >= sent.tips.members;
  const peerKnows = hasSentAll ? NEW_LINK.peerKnows : link.peerKnows;
  if (differingCount < WHOLE_VIEW_AFTER_DIFFERING) {
    const cursors = { have: answer.upTo, sent: sent.upTo };
    return { ...link, ...cursors, differingCount, peerKnows, isCatchingUp };
  }
  return { ...NEW_LINK, region: link.region, instanceId: link.instanceId };
}

/** The link after an answer. */
export function afterAnswer(link: PeerLink, answer: ExchangeMessage, sent: SentState): PeerLink {
  const { processToken, instanceId, region } = answer.from;
  if (link.processToken === processToken && link.sent !== undefined) {
    return readOn(link, answer, sent);
  }
  const isEqual = answer.viewDigest === sent.viewDigest;
  const members = isEqual ? sent.tips.members : 0;
  return {
    processToken,
    instanceId,
    region,
    have: answer.upTo,
    sent: { ...NO_CURSORS, members },
    differingCount: 0,
    peerKnows: new Set(answer.knownLiveness),
    isCatchingUp: answer.moreMembers,
  };
}
