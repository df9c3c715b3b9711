import type { RouteKind } from '../src/core/host-routes';
import type { SilenceFigures } from './cut-in-silence';
import type { CutOffTally } from './cut-off';
import type { FaultKind } from './faults';
import type { LostStreamTally } from './lost-streams';
import type { StreamTally } from './stream-versions';

/** One request of a caller, with its result. */
export interface CallerAttempt {
  readonly requestId: string;
  /** Instance that the caller asked. */
  readonly address: string;
  /** When it was sent, Unix ms. */
  readonly atMs: number;
  /** When its answer or its connection ended, Unix ms. */
  readonly endedAtMs: number;
  /** Whether the caller left before that. */
  readonly hasLeft: boolean;
  readonly kind: RouteKind;
  /** Whether it is a stream that another server may go on with. */
  readonly isResumable: boolean;
  /** Whether it may run in the region of the instance only. */
  readonly isBoundToRegion: boolean;
  readonly maxAttempts: number;
  /** Key that the caller sent. */
  readonly key: string;
  /** Undefined if the connection ended before the head of an answer. */
  readonly status: number | undefined;
  /** When a refused caller may come back, as the answer states it; absent if it doesn't. */
  readonly retryAfter?: string | undefined;
  /** Whether the answer was complete, as HTTP defines it. */
  readonly isWhole: boolean;
  readonly isSigned: boolean;
  readonly body: string;
  /** What of a stream the caller takes up; undefined for a request that begins its answer. */
  readonly takesUp?: TakenUpStream | undefined;
}

/** The part of a stream that its caller has when it takes the stream up. */
export interface TakenUpStream {
  /** The request that brought its first event; absent if the caller does not name it. */
  readonly firstRequestId?: string | undefined;
  readonly lastEventId: number;
  /** Whether the caller does not tell which request that was. */
  readonly isUnnamed?: boolean;
}

/** Time in which all instances, or all of one region, were ended and came back. */
export interface InstanceLoss {
  /** Where callers reach the instances. */
  readonly addresses: readonly string[];
  /** Whether it was all instances, so that nothing that they remembered is left. */
  readonly isOfAll: boolean;
  /** When the first one was ended, Unix ms. */
  readonly fromMs: number;
  /** When the last one accepted connections again; Infinity until then. */
  readonly toMs: number;
}

/** Time in which instances could not read the whole store, or its history was not whole. */
export interface StoreTrouble {
  /** Unix ms. */
  readonly fromMs: number;
  /** Infinity if it lasts. */
  readonly toMs: number;
}

/** Number of servers of each software version that take requests, from a time on. */
export interface VersionCounts {
  /** Unix ms. */
  readonly atMs: number;
  readonly counts: ReadonlyMap<string, number>;
}

/** One run of a request at a backend server. */
export interface ServerRun {
  readonly requestId: string;
  readonly serverId: string;
  /** Identifies the start of the server that ran it, as the instances' logs do. */
  readonly server: string;
  /** When the request arrived, Unix ms. */
  readonly atMs: number;
  /** Account that the instance named to the server; undefined for none. */
  readonly account: string | undefined;
  /** Whether the request contained the key of the caller. */
  readonly sawKey: boolean;
}

/** A change of the limit that a server names. */
export interface NamedLimitChange {
  /** Identifies the start of the server. */
  readonly server: string;
  readonly atMs: number;
  /** Requests per second; undefined if it names none from now on. */
  readonly perSecond: number | undefined;
}

/** A request that arrived at a backend server, whether or not it ran. */
export interface ServerArrival {
  readonly requestId: string;
  /** Identifies the start of the server, as the instances' logs do. */
  readonly server: string;
  readonly atMs: number;
}

/** What a server stated in the answer to a request. */
export type ServerStatement = ServerArrival &
  ({ readonly kind: 'departure' } | { readonly kind: 'pause'; readonly waitMs: number });

/** An answer that a server broke off, or that was a failure of its own. */
export type FailedAnswer = ServerArrival & { readonly kind: 'brokenOff' | 'failure' };

/** Time in which a start of a server read and sent nothing; it then went on where it was. */
export interface Standstill {
  /** Identifies the start of the server. */
  readonly server: string;
  /** Unix ms. */
  readonly fromMs: number;
  readonly toMs: number;
}

/** A start of a server, with where and what it is. */
export interface ServingServer {
  /** Identifies the start of the server. */
  readonly server: string;
  readonly region: string;
  readonly softwareVersion: string;
}

/** Time in which a server took requests: it ran, was not silent, refused nothing, and named no limit and no departure. */
export type ServingTime = ServingServer & {
  /** Unix ms. */
  readonly fromMs: number;
  /** Infinity if it lasts. */
  readonly toMs: number;
};

/** A server that read and sent nothing any more until it was replaced. */
export type SilentServer = ServingServer & {
  /** When it fell silent, Unix ms. */
  readonly fromMs: number;
  /** Requests that were open then, or arrived later. */
  readonly requests: readonly SilencedRequest[];
};

/** A request at a server that fell silent. */
export interface SilencedRequest {
  readonly requestId: string;
  /** When it arrived, Unix ms. */
  readonly sinceMs: number;
  /** Whether the server had sent an event of its stream. */
  readonly hasBegun: boolean;
}

/** Time in which a process stood still, or the moment at which it was killed. */
export interface InstanceInterruption {
  readonly instance: number;
  /** Unix ms. */
  readonly fromMs: number;
  readonly toMs: number;
}

/** Time in which an instance had no links to backend servers. */
export interface LinkCut {
  readonly instance: number;
  readonly mode: string;
  /** Unix ms. */
  readonly fromMs: number;
  readonly toMs: number;
}

/** Time in which all servers were brittle. */
export interface BrittleTime {
  /** Unix ms. */
  readonly fromMs: number;
  readonly toMs: number;
  /** Servers that rejected more requests than they bear. */
  readonly falls: number;
}

/** Time in which a start of a server answered without end. */
export interface EndlessTime {
  /** Identifies the start of the server. */
  readonly server: string;
  /** Unix ms. */
  readonly fromMs: number;
  readonly toMs: number;
}

/** An answer without end. */
export interface EndlessRead extends ServerArrival {
  readonly shape: string;
  /** Whether its connection is open. */
  readonly isOpen: boolean;
}

/** End of the process of an instance. */
export interface InstanceEnd {
  readonly instance: number;
  readonly atMs: number;
  /** Exit code, or the signal that ended it. */
  readonly how: string;
}

/** End of a start of a server. */
export interface ServerEnd {
  /** Identifies the start, as the instances' logs do. */
  readonly server: string;
  /** Unix ms. */
  readonly atMs: number;
}

/** A broken promise, as it is reported. */
export interface BrokenPromise {
  readonly promise:
    | 'ranTwice'
    | 'refusedButRan'
    | 'wrongAnswer'
    | 'corruptStream'
    | 'tooManyServers'
    | 'notServedAgain'
    | 'wrongAccount'
    | 'keyPassedOn'
    | 'unknownKeyServed'
    | 'routesWentBack'
    | 'routesBehind'
    | 'limitExceeded'
    | 'sentToLeaving'
    | 'sentInPause'
    | 'cutOffNotServed'
    | 'harmlessSuspected'
    | 'fellTooOften'
    | 'mixedVersions'
    | 'notTakenUp'
    | 'streamOutOfOrder'
    | 'streamEndsEarly'
    | 'refusedInVain'
    | 'crashingPartServed'
    | 'soundSuspected'
    | 'cutInSilence'
    | 'resumableServedLess'
    | 'leftAtSilentServer'
    | 'lateInEndless'
    | 'struckByEndless'
    | 'endlessReadTooFar'
    | 'endlessKeptOpen'
    | 'instanceEnded';
  readonly requestId: string;
  readonly detail: string;
}

/** Options of a run. */
export interface SoakOptions {
  readonly seed: number;
  readonly seconds: number;
  readonly instances: number;
  /** Number of software versions that the servers have in turn. */
  readonly versions: number;
  /** Time to recover after the last fault, s. */
  readonly recoverySeconds?: number;
  /** Kinds of faults that are injected. */
  readonly kinds: readonly FaultKind[];
  /** Folder for the logs of the instances. */
  readonly logFolder: string;
}

/** Result of a run. */
export interface SoakReport {
  readonly seed: number;
  readonly seconds: number;
  readonly instances: number;
  readonly faults: number;
  /** Times in which all instances, or all of a region, were ended. */
  readonly losses: number;
  readonly requests: number;
  readonly answered: number;
  readonly refused: number;
  /** Answers in cuts of links. */
  readonly cutOff: CutOffTally;
  /** The same for requests that may run in one region only. */
  readonly boundCutOff: CutOffTally;
  /** Streams that began, and that their callers took up. */
  readonly streams: StreamTally;
  /** The same of the slow streams that are asked for around losses of instances. */
  readonly slowStreams: StreamTally;
  /** Streams that broke off when all instances were ended. */
  readonly lost: LostStreamTally;
  /** Requests while servers stood still, and at servers that fell silent. */
  readonly silence: SilenceFigures;
  /** Answers without end. */
  readonly endless: number;
  /** Falls in each time in which the servers were brittle. */
  readonly falls: readonly number[];
  /** Requests with crashing parts that reached servers, and sound ones beside them. */
  readonly crashingParts: { readonly arrivals: number; readonly sound: number };
  readonly broken: readonly BrokenPromise[];
}
