/**
 * The parts of a load scenario: fake servers, instances, callers and faults, and the `Policy` that decides.
 * Everything happens on a virtual clock in ms from 0; no sockets, no timers, no chance but the seed's.
 */
import type { RandomSource } from '../../../src/core/random';

/** Which work goes first when not all can. */
export type Priority = 'interactive' | 'batch';

/** A fake engine: continuous batching in steps, chunked prefill, a prefix cache of limited size. */
export interface EngineSpec {
  readonly kind: 'engine';
  readonly serverId: string;
  readonly service: string;
  readonly region: string;
  readonly failureDomain: string;
  /** Sequences in one batch. */
  readonly maxSequences: number;
  /** Memory for the sequences in the batch, tokens. */
  readonly kvTokens: number;
  readonly prefixCacheTokens: number;
  /** Time of a step without any work in it, ms. */
  readonly stepBaseMs: number;
  /** Time that each decoding sequence adds to a step, ms. */
  readonly stepPerSequenceMs: number;
  readonly prefillMsPerToken: number;
  /** Most prompt tokens computed in one step. */
  readonly prefillChunkTokens: number;
  /** Whether waiting interactive work enters the batch before waiting batch work. */
  readonly honoursPriority: boolean;
}

/** A fake plain server: workers before one FIFO queue. */
export interface PlainSpec {
  readonly kind: 'plain';
  readonly serverId: string;
  readonly service: string;
  readonly region: string;
  readonly failureDomain: string;
  readonly workers: number;
}

/** A fake backend server of either kind. */
export type ServerSpec = EngineSpec | PlainSpec;

/** One gateway instance; each runs a policy of its own. */
export interface InstanceSpec {
  readonly instanceId: string;
  readonly region: string;
  readonly failureDomain: string;
}

/** Size of one request, as drawn for it. */
export interface WorkSize {
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** What the caller states as `max_tokens`; the policy sees this and not `outputTokens`. */
  readonly maxOutputTokens: number;
  /** Start of the prompt that other requests share, if any. */
  readonly prefixKey?: string | undefined;
  readonly prefixTokens?: number | undefined;
  /** Work at a plain server, ms. */
  readonly plainWorkMs?: number;
  /** Crashes each engine or server that begins it. */
  readonly crashesServer?: boolean;
}

/** A stretch of Poisson arrivals. */
export interface ArrivalStretch {
  readonly fromMs: number;
  readonly untilMs: number;
  readonly perSecond: number;
}

/** What a caller does after a refusal, a failure or a passed deadline. */
export type CallerRetry =
  | { readonly kind: 'never' }
  | { readonly kind: 'afterDelay'; readonly delayMs: number; readonly maxTries: number }
  /** Comes back at the stated time; after `delayMs` when none was stated. */
  | { readonly kind: 'atRetryTime'; readonly delayMs: number; readonly maxTries: number };

/** A fake caller. */
export interface CallerSpec {
  readonly callerId: string;
  /** Row of the results in which its requests are counted. */
  readonly className: string;
  readonly service: string;
  readonly homeRegion: string;
  readonly allowedRegions: readonly string[];
  readonly priority: Priority;
  readonly arrivals: readonly ArrivalStretch[];
  readonly drawWork: (random: RandomSource) => WorkSize;
  readonly deadlineMs: number;
  readonly repeatable: boolean;
  readonly retry: CallerRetry;
}

/** Something that changes in the middle of a run. */
export type Fault =
  | {
      readonly atMs: number;
      readonly kind: 'slow';
      readonly serverId: string;
      readonly factor: number;
    }
  /** Loses all work and its cache; comes back only by `recover`. */
  | { readonly atMs: number; readonly kind: 'crash'; readonly serverId: string }
  | { readonly atMs: number; readonly kind: 'recover'; readonly serverId: string }
  | { readonly atMs: number; readonly kind: 'reportsStop'; readonly serverId: string }
  | { readonly atMs: number; readonly kind: 'reportsResume'; readonly serverId: string }
  /** Instances of two regions cannot reach each other. */
  | {
      readonly atMs: number;
      readonly kind: 'partition';
      readonly regions: readonly [string, string];
    }
  | { readonly atMs: number; readonly kind: 'heal'; readonly regions: readonly [string, string] };

/** How servers tell of their load and caches. */
export interface ReportSpec {
  readonly intervalMs: number;
  readonly lagMs: number;
  /** Share of load reports and cache events that never arrive, 0 to 1. */
  readonly lostShare: number;
}

/** What the deployment weighs; only ratios matter. */
export interface ScenarioWeights {
  readonly tailLatency: number;
  readonly remoteShare: number;
  readonly cost: number;
}

/** A whole load scenario. */
export interface Scenario {
  readonly name: string;
  readonly seed: number;
  /** Arrivals stop here. */
  readonly durationMs: number;
  /** Time after `durationMs` in which open requests may still end. */
  readonly drainMs: number;
  /** Requests that arrive before this are not counted. */
  readonly warmUpMs: number;
  /** One-way delay between instances, or an instance and a server, ms. */
  readonly withinRegionMs: number;
  readonly betweenRegionsMs: number;
  /** Time until an engine that crashed by a request is up again, ms. */
  readonly restartMs: number;
  readonly servers: readonly ServerSpec[];
  readonly instances: readonly InstanceSpec[];
  readonly callers: readonly CallerSpec[];
  readonly faults: readonly Fault[];
  readonly reports: ReportSpec;
  readonly weights: ScenarioWeights;
}

/** A request as a policy sees it. */
export interface LoadRequest {
  /** Unique; a caller's later try is another request. */
  readonly requestId: number;
  /** The same for all requests whose body is the same, as a fingerprint of the body would be. */
  readonly fingerprint: string;
  readonly callerId: string;
  readonly service: string;
  readonly priority: Priority;
  readonly homeRegion: string;
  readonly allowedRegions: readonly string[];
  readonly repeatable: boolean;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  readonly prefixKey: string | undefined;
  readonly prefixTokens: number;
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
  /** Instance that passed it on; undefined when it came from the caller. */
  readonly fromInstanceId: string | undefined;
}

/** What an engine says it used. */
export interface Usage {
  readonly promptTokens: number;
  readonly cachedPromptTokens: number;
  readonly outputTokens: number;
}

/** How an attempt that a policy made ended. */
export type AttemptEnd =
  | {
      readonly kind: 'answered';
      readonly serverId: string;
      readonly latencyMs: number;
      readonly firstTokenMs: number;
      readonly usage: Usage;
    }
  | { readonly kind: 'answeredByPeer'; readonly instanceId: string; readonly latencyMs: number }
  /** No connection was made: the request certainly did not run. */
  | { readonly kind: 'unreachable'; readonly serverId: string }
  /** Lost after sending. */
  | { readonly kind: 'crashed'; readonly serverId: string }
  | {
      readonly kind: 'refusedByPeer';
      readonly instanceId: string;
      readonly retryAtMs: number | undefined;
    }
  | { readonly kind: 'peerLost'; readonly instanceId: string }
  /** The caller has gone or the deadline has passed; the request needs no further action. */
  | { readonly kind: 'cancelled'; readonly serverId: string | undefined };

/** A load report as it arrives: `atMs` is when it was true. */
export interface LoadReport {
  readonly serverId: string;
  readonly atMs: number;
  readonly runningRequests: number;
  readonly waitingRequests: number;
  /** Prompt and output tokens of all requests there that are still to be computed. */
  readonly openTokens: number;
}

/** A cache event as it arrives. */
export interface CacheEvent {
  readonly serverId: string;
  readonly atMs: number;
  readonly kind: 'stored' | 'evicted';
  readonly prefixKey: string;
  readonly tokens: number;
}

/** A small message between instances' policies; it takes the network's time and a partition stops it. */
export interface PeerMessage {
  readonly fromInstanceId: string;
  readonly topic: string;
  readonly payload: string;
}

/** What a policy may do. All of it is recorded by the run. */
export interface PolicyActions {
  nowMs(): number;
  /** Sends one attempt to a server of this instance's region; several at once are a hedge. */
  send(request: LoadRequest, serverId: string): void;
  /** Passes the request on to an instance of another region. */
  forward(request: LoadRequest, instanceId: string): void;
  /** Final answer to the caller or to the peer that passed it on. */
  refuse(request: LoadRequest, reason: string, retryAtMs?: number): void;
  /** Cancels this instance's attempt at a server, for example the loser of a hedge. */
  cancel(request: LoadRequest, serverId: string): void;
  wakeAt(atMs: number, callback: () => void): void;
  /** Sends to every other instance, or to those of the regions named. */
  broadcast(topic: string, payload: string, regions?: readonly string[]): void;
}

/** What a policy is made from, once for each instance. */
export interface PolicySetup {
  readonly instance: InstanceSpec;
  readonly instances: readonly InstanceSpec[];
  readonly servers: readonly ServerSpec[];
  readonly weights: ScenarioWeights;
  readonly random: RandomSource;
  readonly actions: PolicyActions;
}

/**
 * Decides for one instance. Every request handed to `onRequest` must sooner or later be sent, forwarded or
 * refused; a request that is not is counted as expired at its deadline, which `onGone` tells.
 */
export interface Policy {
  onRequest(request: LoadRequest): void;
  /** An attempt ended. After `answered` nothing is left to do; after a failure, try again or refuse. */
  onAttemptEnd(request: LoadRequest, end: AttemptEnd): void;
  /** The first token of an attempt's answer came. */
  onFirstToken?(request: LoadRequest, serverId: string): void;
  /** The request's deadline passed while the policy held it; it must be forgotten. */
  onGone(request: LoadRequest): void;
  /** The first token of an attempt at a server has come. */
  onFirstToken?(request: LoadRequest, serverId: string): void;
  onLoadReport?(report: LoadReport): void;
  onCacheEvent?(event: CacheEvent): void;
  onPeerMessage?(message: PeerMessage): void;
}

/** A named way of deciding. */
export interface PolicyFactory {
  readonly name: string;
  create(setup: PolicySetup): Policy;
}
