import type { Clock } from '../clock';
import type { KnownServer, ServerRegistry } from '../server-registry';
import { judgeCrash } from './judge-crash';
import type { CheckOutcome, CrashFacts, CrashVerdict, EntryState } from './judge-crash';
import type { WarmCheck, WarmCheckResult } from './warm-check';

/** Finds out whether servers that broke a connection crashed. */
export interface CrashInvestigations {
  /** Calls back once it is decided; requests that lose connections to one server together share its checks. */
  begin(
    server: KnownServer,
    maxConnections: number,
    onVerdict: (verdict: DecidedVerdict) => void,
  ): void;
  /** Decides what time or the published state has made clear. Must be called regularly. */
  runDue(): void;
}

/** Final result of an investigation. */
export type DecidedVerdict = Exclude<CrashVerdict, { kind: 'undecided' }>;

/** Options of {@link createCrashInvestigations}. */
export interface CrashInvestigationsOptions {
  readonly clock: Pick<Clock, 'monotonicMs'>;
  readonly region: string;
  readonly servers: Pick<ServerRegistry, 'all' | 'get'>;
  readonly warmCheck: Pick<WarmCheck, 'ask'>;
  /** Returns the time of the last byte of a server, monotonic ms; undefined if there was none. */
  readonly lastReachedAtMs: (incarnationId: string) => number | undefined;
  /** Returns a random number from 0 (inclusive) to 1 (exclusive). */
  readonly draw: () => number;
}

/** Number of other servers that are checked, one after the other until one answers. */
const MAX_CONTROLS = 2;

/**
 * Time after a connection broke from which a byte shows that the server goes on, ms. Until then, it may have been on its
 * way when the server crashed.
 */
const MIN_SIGN_OF_LIFE_MS = 500;

interface Investigation {
  readonly server: KnownServer;
  readonly wasLeaving: boolean;
  readonly beganAtMs: number;
  readonly listeners: ((verdict: DecidedVerdict) => void)[];
  /** Undefined until the check of the server has ended. */
  check: CheckOutcome | undefined;
  readonly controls: CheckOutcome[];
}

function outcomeOf({ kind }: WarmCheckResult): CheckOutcome {
  return kind === 'warm' || kind === 'cold' ? 'answered' : kind;
}

/** Creates a record without investigations. */
export function createCrashInvestigations(
  options: CrashInvestigationsOptions,
): CrashInvestigations {
  const { clock, region, servers, warmCheck, draw } = options;
  const open = new Map<string, Investigation>();
  /** Time since which the entry of a server under investigation has been missing, monotonic ms. */
  const missingSinceMs = new Map<string, number>();

  const entryOf = (
    { serverId, incarnationId, address }: KnownServer,
    nowMs: number,
  ): EntryState => {
    const current = servers.get(serverId);
    const isPresent = current?.incarnationId === incarnationId;
    const isAddressReused = servers
      .all()
      .some((known) => known.address === address && known.incarnationId !== incarnationId);
    if ((current !== undefined && !isPresent) || isAddressReused) return { kind: 'superseded' };
    if (isPresent) {
      missingSinceMs.delete(incarnationId);
      return { kind: 'present' };
    }
    const sinceMs = missingSinceMs.get(incarnationId) ?? nowMs;
    missingSinceMs.set(incarnationId, sinceMs);
    return { kind: 'missing', forMs: nowMs - sinceMs };
  };

  /** Ends an investigation if the facts decide it; returns whether they did. */
  const decide = (investigation: Investigation): boolean => {
    const { server, check, wasLeaving, controls, beganAtMs } = investigation;
    if (check === undefined) return false;
    const nowMs = clock.monotonicMs();
    const reachedAtMs = options.lastReachedAtMs(server.incarnationId) ?? -Infinity;
    const facts: CrashFacts = {
      wasLeaving,
      check: reachedAtMs - beganAtMs >= MIN_SIGN_OF_LIFE_MS ? 'answered' : check,
      controls,
      entry: entryOf(server, nowMs),
      waitedMs: nowMs - beganAtMs,
    };
    const verdict = judgeCrash(facts);
    if (verdict.kind === 'undecided') return false;
    open.delete(server.incarnationId);
    missingSinceMs.delete(server.incarnationId);
    for (const listener of investigation.listeners) listener(verdict);
    return true;
  };

  /** Returns other servers of the region in random order, those of other failure domains first. */
  const controlsFor = ({ incarnationId, failureDomain }: KnownServer): readonly KnownServer[] => {
    const isNear = (server: KnownServer) => Number(server.failureDomain === failureDomain);
    return servers
      .all()
      .filter((server) => server.region === region && server.incarnationId !== incarnationId)
      .filter((server) => !server.isDraining && !open.has(server.incarnationId))
      .map((server) => ({ server, order: isNear(server) + draw() }))
      .sort((left, right) => left.order - right.order)
      .map(({ server }) => server)
      .slice(0, MAX_CONTROLS);
  };

  const checkControls = (
    investigation: Investigation,
    [control, ...others]: readonly KnownServer[],
  ): void => {
    if (control === undefined) return;
    const onResult = (result: WarmCheckResult): void => {
      investigation.controls.push(outcomeOf(result));
      if (!decide(investigation)) checkControls(investigation, others);
    };
    warmCheck.ask(control, Infinity, onResult, 'newConnection');
  };

  return {
    begin(server, maxConnections, onVerdict) {
      const known = open.get(server.incarnationId);
      if (known !== undefined) {
        known.listeners.push(onVerdict);
        return;
      }
      const investigation: Investigation = {
        server,
        wasLeaving: servers.get(server.serverId)?.isDraining === true,
        beganAtMs: clock.monotonicMs(),
        listeners: [onVerdict],
        check: undefined,
        controls: [],
      };
      open.set(server.incarnationId, investigation);
      // One connection above the maximum: if requests hold all of them, the check would say nothing about the server.
      warmCheck.ask(server, maxConnections + 1, (result) => {
        investigation.check = outcomeOf(result);
        if (!decide(investigation)) checkControls(investigation, controlsFor(server));
      });
    },
    runDue() {
      for (const investigation of [...open.values()]) decide(investigation);
    },
  };
}
