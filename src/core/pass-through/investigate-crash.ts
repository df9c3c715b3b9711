import type { Clock } from '../clock';
import type { KnownServer, ServerRegistry } from '../server-registry';
import { isWithoutWord, judgeCrash } from './judge-crash';
import type { CheckOutcome, CrashFacts, CrashVerdict, EntryState } from './judge-crash';
import type { UnansweredCheck, CheckConnection, WarmCheck, WarmCheckResult } from './warm-check';

/** Finds out whether servers that broke a connection crashed. */
export interface CrashInvestigations {
  /** Calls back once it is decided; requests that lose connections to one server together share its checks. */
  begin(
    server: KnownServer,
    maxConnections: number,
    onVerdict: (verdict: DecidedVerdict) => void,
  ): void;
  /** Decides what time or the published state has made clear, and checks silent servers again. Must be called regularly. */
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

/** Time after which a server that was silent is checked again, ms. */
const RECHECK_INTERVAL_MS = 500;

/** Number of other servers that are checked, one after the other until one answers. */
const MAX_CONTROLS = 2;

/**
 * Time after a connection broke from which a byte shows that the server goes on, ms. Until then, it may have been on its
 * way when the server crashed.
 */
const MIN_SIGN_OF_LIFE_MS = 500;

/** A server that broke a connection, until it is decided whether it crashed. */
interface Investigation {
  addListener(onVerdict: (verdict: DecidedVerdict) => void): void;
  /** Checks the server, and others if that does not decide it. */
  check(maxConnections: number, over?: CheckConnection): void;
  /** Decides what time or the published state has made clear, and checks a silent server again. */
  runDue(): void;
}

function outcomeOfSeen(saw: UnansweredCheck): CheckOutcome {
  switch (saw) {
    case 'refused':
      return 'unanswered';
    case 'noAnswer':
      return 'answered';
    case 'silent':
    case 'notConnected':
      return saw;
    default:
      return saw satisfies never;
  }
}

function outcomeOf(result: WarmCheckResult): CheckOutcome {
  switch (result.kind) {
    case 'warm':
    case 'cold':
      return 'answered';
    case 'replaced':
      return 'replaced';
    case 'unanswered':
      return outcomeOfSeen(result.saw);
    default:
      return result satisfies never;
  }
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

  const investigate = (server: KnownServer): Investigation => {
    const { incarnationId } = server;
    const wasLeaving = servers.get(server.serverId)?.isDraining === true;
    const beganAtMs = clock.monotonicMs();
    const listeners: ((verdict: DecidedVerdict) => void)[] = [];
    let isOver = false;
    /** Undefined until the first check of the server has ended. */
    let outcome: CheckOutcome | undefined;
    /** Results of checks of others since the last one of the server. */
    let controls: CheckOutcome[] = [];
    /** Since then, the server was silent at each check and another one answered after it, monotonic ms. */
    let aloneSilentSinceMs: number | undefined;
    /** Infinity while checks are in progress, and once the server has refused a connection. */
    let nextCheckAtMs = Infinity;

    /** Ends the investigation if the facts decide it; returns whether it is over. */
    const decide = (): boolean => {
      if (isOver || outcome === undefined) return isOver;
      const nowMs = clock.monotonicMs();
      const reachedAtMs = options.lastReachedAtMs(incarnationId) ?? -Infinity;
      const facts: CrashFacts = {
        wasLeaving,
        check: reachedAtMs - beganAtMs >= MIN_SIGN_OF_LIFE_MS ? 'answered' : outcome,
        controls,
        ...(aloneSilentSinceMs !== undefined && { aloneSilentForMs: nowMs - aloneSilentSinceMs }),
        entry: entryOf(server, nowMs),
        waitedMs: nowMs - beganAtMs,
      };
      const verdict = judgeCrash(facts);
      if (verdict.kind === 'undecided') return false;
      isOver = true;
      open.delete(incarnationId);
      missingSinceMs.delete(incarnationId);
      for (const listener of listeners) listener(verdict);
      return true;
    };

    const endChecks = (checkedAtMs: number): void => {
      if (outcome === undefined || !isWithoutWord(outcome)) return;
      const isAlone = controls.includes('answered');
      aloneSilentSinceMs = isAlone ? (aloneSilentSinceMs ?? checkedAtMs) : undefined;
      nextCheckAtMs = clock.monotonicMs() + RECHECK_INTERVAL_MS;
    };

    const checkControls = (
      checkedAtMs: number,
      [control, ...others]: readonly KnownServer[],
    ): void => {
      if (control === undefined || controls.includes('answered')) {
        endChecks(checkedAtMs);
        return;
      }
      const onResult = (result: WarmCheckResult): void => {
        controls.push(outcomeOf(result));
        if (!decide()) checkControls(checkedAtMs, others);
      };
      warmCheck.ask(control, Infinity, onResult, 'newConnection');
    };

    const check: Investigation['check'] = (maxConnections, over) => {
      const checkedAtMs = clock.monotonicMs();
      nextCheckAtMs = Infinity;
      const onResult = (result: WarmCheckResult): void => {
        outcome = outcomeOf(result);
        controls = [];
        if (!decide()) checkControls(checkedAtMs, controlsFor(server));
      };
      warmCheck.ask(server, maxConnections, onResult, over);
    };

    return {
      addListener: (onVerdict) => listeners.push(onVerdict),
      check,
      runDue() {
        if (decide() || nextCheckAtMs > clock.monotonicMs()) return;
        // The connections that are open may be dead, while new ones work.
        check(Infinity, 'newConnection');
      },
    };
  };

  return {
    begin(server, maxConnections, onVerdict) {
      const known = open.get(server.incarnationId);
      if (known !== undefined) {
        known.addListener(onVerdict);
        return;
      }
      const investigation = investigate(server);
      investigation.addListener(onVerdict);
      open.set(server.incarnationId, investigation);
      // One connection above the maximum: if requests hold all of them, the check would say nothing about the server.
      investigation.check(maxConnections + 1);
    },
    runDue() {
      for (const investigation of [...open.values()]) investigation.runDue();
    },
  };
}
