import type { Clock } from '../clock';
import type { Logger } from '../events';
import { createAnswerCache, createCounterSelector, createRegionReports } from '../shared-budget';
import type { CounterPeer } from '../shared-budget';
import { createKnownLimits } from './known-limits';
import type { KnownLimit } from './known-limits';
import { createLimitCounts } from './limit-counts';
import { parseLimitMessage, serializeLimitMessage } from './limit-messages';
import type { AskVerdict, LimitMessage, ToldLimit } from './limit-messages';
import { createPermitAsks } from './permit-asks';
import { rateInForce } from './rate-in-force';
import type { LimitObservation, PermitVerdict } from './types';

/** Keeps all instances of a region together to the limits that its backend servers name. */
export interface ServerLimits {
  /** Applies what an answer of a server says about its limit. */
  observe(observation: LimitObservation): void;
  /** Whether a request to the server needs a permit. */
  isLimited(incarnationId: string): boolean;
  /** Returns the time until a permit for the server may be asked for, ms; 0 if it may now, or if none is needed. */
  waitMs(incarnationId: string): number;
  /** Asks for permission to send one request to a server. `decide` may be called before this returns. */
  requestPermit(incarnationId: string, decide: (verdict: PermitVerdict) => void): void;
  /** Processes a message of another instance. Returns whether the text was a valid one. */
  receive(text: string): boolean;
  /** Sends what is due to other instances, and checks servers that have been silent. Must be called regularly. */
  runDue(): void;
  /** Number of servers that have a limit. */
  limitedCount(): number;
  /** Number of permits that were denied to this instance. */
  deniedCount(): number;
  /** Drops the state of all servers but these. */
  keepOnly(incarnationIds: ReadonlySet<string>): void;
}

/** Options of `createServerLimits`. */
export interface ServerLimitsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly self: () => CounterPeer;
  /** Whether this instance counts for others; false once it is leaving. */
  readonly isCounting: () => boolean;
  /** Returns the other instances of the region that may be alive, suspected ones included. */
  readonly peers: () => readonly CounterPeer[];
  /** Returns the share of the region's instances that this one reaches, itself included; from 0 to 1. */
  readonly reachableShare: () => number;
  readonly send: (address: string, text: string) => void;
  /** Sends a health check to a server; its answer is passed to `observe`. */
  readonly checkHealth: (incarnationId: string) => void;
}

/**
 * Time after the start of a process during which it grants no permits, ms. It does not know the other instances yet,
 * and each of them would grant all permits of a server after a power failure.
 */
const DISCOVERY_TIME_MS = 3_000;
/** Share of the permits that the backup of a counter grants, since the counter may still be running. */
const BACKUP_SHARE = 0.25;
/** Minimum time for which answers to asks are kept, ms, so that a repeated ask does not take a second permit. */
const ANSWER_TTL_MS = 1_000;
/**
 * Time without an answer of a limited server after which its counter sends a health check, ms, and between two; longer in
 * proportion during a network partition, in which each side has a counter.
 */
const SILENCE_BEFORE_CHECK_MS = 2_000;

/** Interval between two announcements of an unchanged limit, ms. */
const ANNOUNCE_INTERVAL_MS = 3_000;
/** Time for which the end of a limit is still told, ms: a message may be lost. */
const TELL_END_MS = 8_000;

/** Returns what another instance is told of a limit. */
function toldLimit(known: KnownLimit, nowMs: number): ToldLimit {
  return {
    server: known.incarnationId,
    perSecond: known.perSecond ?? null,
    ageMs: Math.max(0, Math.round(nowMs - known.observedAtMs)),
  };
}

/**
 * Creates the limits of the servers of a region.
 *
 * A server in need names the rate of requests that it takes from all instances together. If each instance kept to it
 * alone, the server would get that rate once for each of them. So one instance of the region, chosen by rendezvous
 * hashing, counts the requests to a server, and the others ask it for a permit before each request. Permits go to where
 * the callers are, which no fixed division of a rate of one request a second among hundreds of instances could do.
 *
 * During a network partition, each side has a counter of its own. It grants the share of the rate that matches the
 * share of the instances that it reaches, so that all sides together keep to the limit.
 */
export function createServerLimits(options: ServerLimitsOptions): ServerLimits {
  const { clock, self } = options;
  const nowMs = () => clock.monotonicMs();
  const startedAtMs = nowMs();
  const known = createKnownLimits(options.logger);
  const counts = createLimitCounts();
  const answers = createAnswerCache<AskVerdict>(ANSWER_TTL_MS);
  const counters = createCounterSelector({
    self: () => (options.isCounting() ? self() : undefined),
    peers: options.peers,
    nowMs,
  });
  const deniedUntilMs = new Map<string, number>();
  const checkedAtMs = new Map<string, number>();
  let deniedCount = 0;

  const send = (address: string, message: LimitMessage): void =>
    options.send(address, serializeLimitMessage(message));

  const countersOf = (serverId: string) => counters.select(serverId, self().region);

  const isCounter = (serverId: string): boolean =>
    countersOf(serverId)[0]?.instanceId === self().instanceId;

  const observe = (observation: LimitObservation): void => {
    // A wait that was told for the former limit may be far too long for the new one.
    if (known.observe(observation, nowMs())) deniedUntilMs.delete(observation.incarnationId);
  };

  const observeTold = ({ server, perSecond, ageMs }: ToldLimit): void =>
    observe({
      incarnationId: server,
      named: perSecond === null ? { kind: 'none' } : { kind: 'limit', perSecond },
      observedAtMs: nowMs() - ageMs,
      source: 'instance',
    });

  /** Returns the share of a server's rate that this instance may grant; undefined if it does not count the server. */
  const ownShare = (serverId: string): number | undefined => {
    if (nowMs() - startedAtMs < DISCOVERY_TIME_MS) return undefined;
    const rank = countersOf(serverId).findIndex(
      ({ instanceId }) => instanceId === self().instanceId,
    );
    if (rank === -1) return undefined;
    return options.reachableShare() * (rank === 0 ? 1 : BACKUP_SHARE);
  };

  const takeHere = (serverId: string): AskVerdict => {
    const perSecond = rateInForce(known.get(serverId), nowMs());
    if (perSecond === undefined) return { kind: 'granted' };
    const share = ownShare(serverId);
    if (share === undefined) return { kind: 'notCounting' };
    return counts.take(serverId, { perSecond, share }, nowMs());
  };

  const told = (serverId: string): ToldLimit => {
    const limit = known.get(serverId);
    return limit === undefined
      ? { server: serverId, perSecond: null, ageMs: 0 }
      : toldLimit(limit, nowMs());
  };

  const asks = createPermitAsks({ clock, self, countersOf, told, takeHere, send });
  const forMs = ({ perSecond }: KnownLimit) => (perSecond === undefined ? TELL_END_MS : Infinity);
  const reports = createRegionReports<KnownLimit>({
    counterAddress(serverId) {
      const [counter] = countersOf(serverId);
      return counter?.instanceId === self().instanceId ? undefined : counter?.address;
    },
    isCounter,
    addresses: () => options.peers().map(({ address }) => address),
    valueOf: ({ perSecond }) => perSecond,
    reportForMs: forMs,
    announceForMs: forMs,
    announceIntervalMs: () => ANNOUNCE_INTERVAL_MS,
    send: (address, limits, atMs) =>
      send(address, {
        kind: 'serverLimits',
        limits: limits.map((limit) => toldLimit(limit, atMs)),
      }),
  });

  const receiveMessage = (message: LimitMessage): void => {
    switch (message.kind) {
      case 'permitAsk': {
        const { from, askId, limit } = message;
        observeTold(limit);
        const verdict = answers.getOrCreate(`${from.instanceId} ${askId}`, nowMs(), () =>
          takeHere(limit.server),
        );
        const current = known.get(limit.server);
        send(from.address, {
          kind: 'permitAnswer',
          askId,
          verdict,
          limit: current === undefined ? undefined : toldLimit(current, nowMs()),
        });
        return;
      }
      case 'permitAnswer':
        if (message.limit !== undefined) observeTold(message.limit);
        asks.receiveAnswer(message.askId, message.verdict);
        return;
      case 'serverLimits':
        for (const limit of message.limits) observeTold(limit);
        return;
      default:
        message satisfies never;
    }
  };

  /** Checks a limited server that nobody has had an answer from lately: its limit may have ended unnoticed. */
  const checkIfSilent = (serverId: string, observedAtMs: number): void => {
    const lastAtMs = Math.max(observedAtMs, checkedAtMs.get(serverId) ?? -Infinity);
    if (nowMs() - lastAtMs < SILENCE_BEFORE_CHECK_MS || !isCounter(serverId)) return;
    if (nowMs() - lastAtMs < SILENCE_BEFORE_CHECK_MS / options.reachableShare()) return;
    checkedAtMs.set(serverId, nowMs());
    options.checkHealth(serverId);
  };

  const isLimited = (incarnationId: string): boolean =>
    rateInForce(known.get(incarnationId), nowMs()) !== undefined;

  return {
    observe,
    isLimited,
    waitMs: (incarnationId) =>
      isLimited(incarnationId) ? Math.max(0, (deniedUntilMs.get(incarnationId) ?? 0) - nowMs()) : 0,
    requestPermit(incarnationId, decide) {
      if (!isLimited(incarnationId)) {
        decide({ kind: 'granted' });
        return;
      }
      asks.ask(incarnationId, (verdict) => {
        if (verdict.kind === 'denied') {
          deniedCount += 1;
          deniedUntilMs.set(incarnationId, nowMs() + verdict.retryAfterMs);
        }
        decide(verdict);
      });
    },
    receive(text) {
      const message = parseLimitMessage(text);
      if (message !== undefined) receiveMessage(message);
      return message !== undefined;
    },
    runDue() {
      const limits = known.all();
      reports.sendDue(limits, nowMs());
      for (const { incarnationId, perSecond, observedAtMs } of limits) {
        if (perSecond !== undefined) checkIfSilent(incarnationId, observedAtMs);
      }
    },
    limitedCount: () => known.all().filter(({ perSecond }) => perSecond !== undefined).length,
    deniedCount: () => deniedCount,
    keepOnly(incarnationIds) {
      known.keepOnly(incarnationIds);
      counts.keepOnly(incarnationIds);
      reports.keepOnly(incarnationIds);
      for (const times of [deniedUntilMs, checkedAtMs]) {
        for (const id of times.keys()) if (!incarnationIds.has(id)) times.delete(id);
      }
    },
  };
}
