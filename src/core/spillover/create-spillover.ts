import type { SpilloverOptions, Weights } from '../configuration';
import type { RandomSource } from '../random';
import { createForwardWindow } from './forward-window';
import type { ForwardWindow } from './forward-window';
import { COLD_CACHE_SHARE, createSpillShare, remoteCost } from './spill-share';
import type { SpillShare } from './spill-share';
import type {
  ForwardResult,
  HomeOutlook,
  RemoteRegion,
  SpilloverDecision,
  SpilloverInput,
} from './types';

/**
 * When a request leaves its home region, and for which other one.
 *
 * A request is in excess when home would refuse it, or when it would wait so much longer than elsewhere that
 * the gain outweighs what serving it elsewhere costs by the deployment's weights. Gain and cost are measured in
 * the request's own service time, so that one rule fits a stock check and a floor plan. As many requests as
 * `SpillShare` allows leave, as far as the other regions' windows have room: those in excess, and others that
 * would wait, so that what is bound to home gets the room they leave.
 *
 * Requests at home are never in excess below `leastUtilisation`: at 80% of the capacity, waits are chance and
 * pass before a request could travel.
 */
export interface Spillover {
  /** Decides for one request of a caller; to be called once for each, also for those bound to home. */
  decide(input: SpilloverInput): SpilloverDecision;
  /** Notes that a request was forwarded to a region. */
  begin(service: string, region: string): void;
  /** Notes how it ended. */
  end(service: string, region: string, result: ForwardResult, nowMs: number): void;
  /** Share of the service's arrivals that leaves, 0 to 1. */
  share(service: string): number;
}

/** What the decision is made from. */
export interface SpilloverNeeds {
  readonly options: () => SpilloverOptions;
  readonly weights: () => Weights;
  readonly random: RandomSource;
}

/** While something is spilled, this part of the gain is enough to go on: the mark to leave lies above it. */
const STAY_OUT_SHARE = 0.5;

interface OpenRegion extends RemoteRegion {
  readonly room: number;
}

/** Spillover that has seen nothing. */
export function createSpillover({ options, weights, random }: SpilloverNeeds): Spillover {
  const shares = new Map<string, SpillShare>();
  const windows = new Map<string, ForwardWindow>();

  const shareOf = (service: string): SpillShare => {
    const share = shares.get(service) ?? createSpillShare(options, weights);
    shares.set(service, share);
    return share;
  };
  const windowOf = (service: string, region: string): ForwardWindow => {
    const key = `${service}/${region}`;
    const window = windows.get(key) ?? createForwardWindow();
    windows.set(key, window);
    return window;
  };

  /** What a request gains elsewhere against what that costs; above 1 it is worth it. */
  const worth = (home: HomeOutlook, roundTripMs: number): number => {
    const serviceMs = Math.max(1, home.expectedServiceMs);
    const remoteMs = roundTripMs + COLD_CACHE_SHARE * serviceMs;
    const gain = (weights().tailLatency * (home.expectedWaitMs - remoteMs)) / serviceMs;
    const cost = remoteCost(weights());
    return cost === 0 ? gain : gain / cost;
  };

  const isInExcess = ({ service, home, regions }: SpilloverInput): boolean => {
    if (home.wouldRefuse) return true;
    if (home.utilisation < options().leastUtilisation) return false;
    const nearestMs = Math.min(...regions.map(({ roundTripMs }) => roundTripMs));
    const mark = shareOf(service).share() > 0 ? STAY_OUT_SHARE : 1;
    return worth(home, Number.isFinite(nearestMs) ? nearestMs : 0) > mark;
  };

  const openRegions = ({ service, regions, nowMs }: SpilloverInput): OpenRegion[] =>
    regions
      .map((region) => ({ ...region, room: windowOf(service, region.region).room(nowMs) }))
      .filter(({ room }) => room > 0);

  /** Draws a region in proportion to its room: always the roomiest would be everyone's choice at once. */
  const draw = (regions: readonly OpenRegion[]): OpenRegion | undefined => {
    const rooms = regions.reduce((sum, { room }) => sum + room, 0);
    let left = random.next() * rooms;
    return regions.find(({ room }) => {
      left -= room;
      return left < 0;
    });
  };

  const leave = (
    open: readonly OpenRegion[],
    reason: 'home has no server' | 'home is overloaded',
  ): SpilloverDecision => {
    const chosen = draw(open);
    if (chosen === undefined) return { kind: 'home', reason: 'no region takes more' };
    const runnersUp = open.filter((one) => one !== chosen).map(({ region }) => region);
    return { kind: 'leave', region: chosen.region, runnersUp, reason };
  };

  /** Decides for a request that home could take; a right to leave is taken only when it leaves. */
  const weigh = (input: SpilloverInput, inExcess: boolean): SpilloverDecision => {
    const { service, home, regions } = input;
    if (regions.length === 0) return { kind: 'home', reason: 'bound to home' };
    const hasRoom = home.expectedWaitMs === 0 && !home.wouldRefuse;
    if (hasRoom) return { kind: 'home', reason: 'home has room' };
    // While home is pressed, whoever may leave and would wait makes room for those who may not.
    const share = shareOf(service);
    if (!inExcess && share.share() === 0) return { kind: 'home', reason: 'gain below cost' };
    const open = openRegions(input);
    if (open.length === 0) return { kind: 'home', reason: 'no region takes more' };
    if (!share.take()) return { kind: 'home', reason: 'share of spillover used up' };
    return leave(open, 'home is overloaded');
  };

  return {
    decide(input) {
      const { service, home, regions, nowMs } = input;
      if (!home.canServe) {
        if (regions.length === 0) return { kind: 'home', reason: 'bound to home' };
        return leave(openRegions(input), 'home has no server');
      }
      const inExcess = isInExcess(input);
      const decision = weigh(input, inExcess);
      const share = shareOf(service);
      if (decision.kind === 'leave') share.noteLeft(nowMs);
      else share.noteKept(inExcess, nowMs);
      return decision;
    },
    begin: (service, region) => windowOf(service, region).begin(),
    end: (service, region, result, nowMs) => windowOf(service, region).end(result, nowMs),
    share: (service) => shares.get(service)?.share() ?? 0,
  };
}
