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
 * Decides when a request leaves its home region, and for which other region.
 *
 * A request is in excess when its home region would refuse it, or when it would wait so much longer there than
 * elsewhere that the gain exceeds the cost of serving it remotely under the deployment's weights. Gain and
 * cost are measured relative to the request's own service time, so that one rule fits short and long requests,
 * such as a stock check and a floor plan. `SpillShare` limits how many requests leave, and the forward windows
 * of the other regions limit how many each of them receives. Besides requests in excess, others that would
 * wait may leave too, to free capacity for requests that must stay at home.
 *
 * Below `leastUtilisation` no request is in excess unless home would refuse it: at 80% of the capacity, waits
 * are random and pass before a request could reach another region.
 */
export interface Spillover {
  /**
   * Decides for one request of a caller. Must be called once for each request, also for those that must stay
   * at home.
   */
  decide(input: SpilloverInput): SpilloverDecision;
  /** Records that a request was forwarded to a region. */
  begin(service: string, region: string): void;
  /** Records how a forwarded request ended. */
  end(service: string, region: string, result: ForwardResult, nowMs: number): void;
  /** Returns the share of the service's arrivals that is spilled, 0 to 1. */
  share(service: string): number;
}

/** Dependencies of `createSpillover`. */
export interface SpilloverDependencies {
  readonly options: () => SpilloverOptions;
  readonly weights: () => Weights;
  readonly random: RandomSource;
}

/**
 * Gain-to-cost ratio above which spilling continues once it has begun. It is lower than the ratio of 1 at
 * which spilling starts, which provides hysteresis.
 */
const CONTINUE_SPILLING_THRESHOLD = 0.5;

interface AvailableRegion extends RemoteRegion {
  readonly remainingForwards: number;
}

/** Creates the spillover logic of one instance, without any recorded requests. */
export function createSpillover({ options, weights, random }: SpilloverDependencies): Spillover {
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

  /**
   * Returns the gain of serving a request remotely divided by its cost (the gain itself if the cost is 0);
   * above 1 the gain outweighs the cost.
   */
  const gainToCostRatio = (home: HomeOutlook, roundTripMs: number): number => {
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
    const threshold = shareOf(service).share() > 0 ? CONTINUE_SPILLING_THRESHOLD : 1;
    return gainToCostRatio(home, Number.isFinite(nearestMs) ? nearestMs : 0) > threshold;
  };

  const availableRegions = ({ service, regions, nowMs }: SpilloverInput): AvailableRegion[] =>
    regions
      .map((region) => ({
        ...region,
        remainingForwards: windowOf(service, region.region).remainingForwards(nowMs),
      }))
      .filter(({ remainingForwards }) => remainingForwards > 0);

  /**
   * Draws a region with a probability proportional to the remaining size of its forward window. If each instance
   * chose the region with the largest one, all would choose the same region at once.
   */
  const drawRegion = (regions: readonly AvailableRegion[]): AvailableRegion | undefined => {
    const totalForwards = regions.reduce(
      (sum, { remainingForwards }) => sum + remainingForwards,
      0,
    );
    let remaining = random.next() * totalForwards;
    return regions.find(({ remainingForwards }) => {
      remaining -= remainingForwards;
      return remaining < 0;
    });
  };

  const chooseRegion = (
    available: readonly AvailableRegion[],
    reason: 'home has no server' | 'home is overloaded',
  ): SpilloverDecision => {
    const chosen = drawRegion(available);
    if (chosen === undefined) return { kind: 'home', reason: 'no region takes more' };
    const runnersUp = available.filter((one) => one !== chosen).map(({ region }) => region);
    return { kind: 'leave', region: chosen.region, runnersUp, reason };
  };

  /**
   * Decides for a request whose home region has a server; a spillover permit is taken only if a region is
   * available.
   */
  const decideForServableRequest = (
    input: SpilloverInput,
    inExcess: boolean,
  ): SpilloverDecision => {
    const { service, home, regions } = input;
    if (regions.length === 0) return { kind: 'home', reason: 'bound to home' };
    const startsAtOnce = home.expectedWaitMs === 0 && !home.wouldRefuse;
    if (startsAtOnce) return { kind: 'home', reason: 'home has room' };
    // While home is overloaded, requests that would wait and may leave free capacity for those that must stay.
    const share = shareOf(service);
    if (!inExcess && share.share() === 0) return { kind: 'home', reason: 'gain below cost' };
    const available = availableRegions(input);
    if (available.length === 0) return { kind: 'home', reason: 'no region takes more' };
    if (!share.tryTakePermit()) return { kind: 'home', reason: 'share of spillover used up' };
    return chooseRegion(available, 'home is overloaded');
  };

  return {
    decide(input) {
      const { service, home, regions, nowMs } = input;
      if (!home.canServe) {
        if (regions.length === 0) return { kind: 'home', reason: 'bound to home' };
        return chooseRegion(availableRegions(input), 'home has no server');
      }
      const inExcess = isInExcess(input);
      const decision = decideForServableRequest(input, inExcess);
      const share = shareOf(service);
      if (decision.kind === 'leave') share.recordSpilled(nowMs);
      else share.recordKept(inExcess, nowMs);
      return decision;
    },
    begin: (service, region) => windowOf(service, region).begin(),
    end: (service, region, result, nowMs) => windowOf(service, region).end(result, nowMs),
    share: (service) => shares.get(service)?.share() ?? 0,
  };
}
