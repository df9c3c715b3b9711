import { LRUCache } from 'lru-cache';
import type { Clock } from '../clock';
import type { Logger } from '../events';
import type { Gossip } from '../gossip';
import { ANSWER_PROTECTS_MS, createCauseLedger, isAnsweredAfter } from './cause-ledger';
import type { CauseLedger } from './cause-ledger';
import { createConvictionGossip } from './conviction-gossip';
import { createCrashCollector } from './crash-collector';
import type { CollectedCrash, RequestCrash } from './crash-collector';
import { CRASH_CAUSE_EVENTS } from './events';
import { parseCauseMessage, serializeCauseMessages } from './messages';
import type { CauseStatement } from './messages';
import { createPartHistory } from './part-history';
import type { PartHistory } from './part-history';
import type { SuspectParts } from './suspect-parts';
import { openTrial } from './open-trial';
import { createPartTrials } from './part-trials';
import type { PartTrials } from './part-trials';
import type {
  Conviction,
  CrashSighting,
  HeldRequest,
  PartTrial,
  RequestWithParts,
  Suspicion,
} from './types';

/** Knows the parts of prompts that crash servers, from the requests of this instance and what others tell. */
export interface CrashCauses extends Disposable {
  /** Returns why a request is refused; undefined if it is not. */
  convictionOf(request: RequestWithParts): Conviction | undefined;
  /** Returns why a request has to wait for others with a suspected part; undefined if it has not. */
  heldBy(request: RequestWithParts): HeldRequest | undefined;
  /** Begins a trial if a request that is about to be sent holds suspected parts; undefined if it holds none. */
  beginTrial(request: RequestWithParts): PartTrial | undefined;
  /** Records that a request is sent to a server. */
  recordSent(request: RequestWithParts): void;
  /** Records that a request was answered completely. */
  recordAnswered(request: RequestWithParts): void;
  /** Records that a server crashed while it had a request; `regions` are those that may be told of its parts. */
  recordCrash(request: RequestWithParts, crash: RequestCrash, regions: readonly string[]): void;
  /** Processes a message of another instance. Returns whether the text was a valid one. */
  receive(text: string): boolean;
  /** Number of parts for which requests are refused. */
  count(): number;
}

/** Options of {@link createCrashCauses}. */
export interface CrashCausesOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly gossip: Gossip;
  readonly instanceId: string;
  readonly suspectParts: SuspectParts;
  /** Whether requests are refused; what crashes servers is recorded and told in any case. */
  readonly isEnabled: () => boolean;
  /** All regions of the deployment. */
  readonly regions: () => readonly string[];
  /** Sends a text to all other instances of some regions; it may get lost. */
  readonly send: (regions: readonly string[], text: string) => void;
  /** Returns the place of this instance among all instances, from 0, in the order in which they may try a part. */
  readonly rankOf: (part: string) => number;
  /** Called with a server whose crash has a known cause. */
  readonly onExplained: (serverId: string) => void;
  /** Returns a random number from 0 (inclusive) to 1 (exclusive). */
  readonly draw: () => number;
}

/** Time after a crash at which its causes are looked for, ms: by then, other instances have told what they know. */
const SETTLE_MS = 150;
/** Time for which an answer may have been arriving so that its request still may be the cause, ms. */
export const MAX_ANSWERED_MS = 250;
/** Maximum delay before this instance states an answer on a part that another one suspects, ms. */
const MAX_REPLY_DELAY_MS = 50;
/** Time for which one statement on a part makes another one needless, ms. */
const STATED_RECENTLY_MS = 1_000;
const MAX_STATED_PARTS = 1_000;
/** Suspected parts of one request that are announced, those of most crashes first. */
const MAX_TRIED_AT_ONCE = 16;

interface ServiceCauses {
  readonly history: PartHistory;
  readonly ledger: CauseLedger;
  readonly trials: PartTrials;
  /** Time at which an answer or a conviction of a part was last stated, by any instance, monotonic ms. */
  readonly statedAtMs: LRUCache<string, number>;
}

/** Creates a record without crashes that listens to the other instances until it is disposed of. */
export function createCrashCauses(options: CrashCausesOptions): CrashCauses {
  const { clock, logger, gossip, instanceId, suspectParts, regions, send, draw } = options;
  const services = new Map<string, ServiceCauses>();
  const timers = new Set<Disposable>();
  let isDisposed = false;

  const causesOf = (service: string): ServiceCauses => {
    const known = services.get(service);
    if (known !== undefined) return known;
    const history = createPartHistory();
    const added: ServiceCauses = {
      history,
      ledger: createCauseLedger(history),
      trials: createPartTrials(options),
      statedAtMs: new LRUCache({ max: MAX_STATED_PARTS }),
    };
    services.set(service, added);
    return added;
  };

  const schedule = (delayMs: number, task: () => void): void => {
    if (isDisposed) return;
    const timer = clock.schedule(clock.monotonicMs() + delayMs, () => {
      timers.delete(timer);
      task();
    });
    timers.add(timer);
  };

  const tell = (
    service: string,
    statement: CauseStatement,
    to: readonly string[] = regions(),
  ): void => {
    // Reports of one instance on requests with different regions add up.
    const from = statement.kind === 'crashed' ? `${instanceId} ${to.join()}` : instanceId;
    const messages = serializeCauseMessages({ from, service, statement }, clock.monotonicMs());
    for (const message of messages) send(to, message);
  };

  const logConviction = (
    event: (typeof CRASH_CAUSE_EVENTS)['found' | 'learned'],
    service: string,
    { part, crashes, firstCrashAtMs, untilMs }: Conviction,
    origin: string,
  ): void => {
    const nowMs = clock.monotonicMs();
    const { history } = causesOf(service);
    logger.event(event, {
      service,
      part,
      crashes,
      origin,
      shareOfRequests: Number(history.shareOf(part, nowMs).toFixed(3)),
      sinceFirstCrashMs: Math.round(nowMs - firstCrashAtMs),
      refusedForMs: Math.round(untilMs - nowMs),
    });
  };

  const spread = createConvictionGossip({
    clock,
    gossip,
    isConvicted: (service, part) =>
      causesOf(service).ledger.convictionOf(part, clock.monotonicMs()) !== undefined,
    onConviction: adopt,
  });

  const reportExplained = (ledger: CauseLedger): void => {
    for (const serverId of ledger.takeExplained()) options.onExplained(serverId);
  };

  const findCauses = (service: string): void => {
    const { ledger } = causesOf(service);
    for (const conviction of ledger.findCauses(clock.monotonicMs())) {
      logConviction(CRASH_CAUSE_EVENTS.found, service, conviction, instanceId);
      tell(service, { kind: 'convicted', conviction });
      spread.put(service, conviction);
    }
    spread.withdrawReleased();
    reportExplained(ledger);
  };

  const recordCrash = (service: string, sourceId: string, sighting: CrashSighting): void => {
    causesOf(service).ledger.recordCrash(sourceId, sighting, clock.monotonicMs());
    schedule(SETTLE_MS, () => findCauses(service));
  };

  const reportCollected = (found: CollectedCrash): void => {
    const { service, crash, parts, requests } = found;
    const { history } = causesOf(service);
    const nowMs = clock.monotonicMs();
    // A part that was answered a moment ago is no suspect, here or elsewhere.
    const suspects = [...parts].filter(
      ([part]) => history.answeredAtMs(part) + ANSWER_PROTECTS_MS < crash.atMs,
    );
    const sighting: CrashSighting = {
      serverId: crash.serverId,
      failureDomain: crash.failureDomain,
      atMs: crash.atMs,
      requests,
      parts: suspects.map(([part, sentAtMs]) => ({
        part,
        share: history.shareOf(part, nowMs),
        sentAtMs,
      })),
      triedParts: found.trials.flatMap((trial) => trial.parts),
    };
    recordCrash(service, `${instanceId} ${found.regions.join()}`, sighting);
    for (const trial of found.trials) trial.end();
    tell(service, { kind: 'crashed', sighting }, found.regions);
  };
  const collector = createCrashCollector(schedule, reportCollected);

  const wasStatedRecently = ({ statedAtMs }: ServiceCauses, part: string): boolean =>
    (statedAtMs.get(part) ?? -Infinity) + STATED_RECENTLY_MS > clock.monotonicMs();

  /** States, unless another instance does so first, what speaks for or against a part that another one suspects. */
  const replyOn = (service: string, part: string, crashAtMs: number): void => {
    const causes = causesOf(service);
    const { history, ledger, statedAtMs } = causes;
    const isKnown = () =>
      history.answeredAtMs(part) + ANSWER_PROTECTS_MS >= crashAtMs ||
      ledger.convictionOf(part, clock.monotonicMs()) !== undefined;
    if (!isKnown()) return;
    schedule(draw() * MAX_REPLY_DELAY_MS, () => {
      if (wasStatedRecently(causes, part) || !isKnown()) return;
      const nowMs = clock.monotonicMs();
      statedAtMs.set(part, nowMs);
      const conviction = ledger.convictionOf(part, nowMs);
      if (conviction !== undefined) tell(service, { kind: 'convicted', conviction });
      else tell(service, { kind: 'answered', part, atMs: history.answeredAtMs(part) });
    });
  };

  /** Records an answer on a part; returns whether it releases the part. */
  const recordAnswered = (service: string, part: string, atMs: number): boolean => {
    const { ledger, trials } = causesOf(service);
    trials.end(part);
    if (!ledger.recordAnswered(part, atMs)) return false;
    logger.event(CRASH_CAUSE_EVENTS.released, { service, part });
    spread.withdrawReleased();
    return true;
  };

  function adopt(service: string, conviction: Conviction, origin: string): void {
    const { ledger, history } = causesOf(service);
    const { part } = conviction;
    if (ledger.adopt(conviction, clock.monotonicMs())) {
      logConviction(CRASH_CAUSE_EVENTS.learned, service, conviction, origin);
      spread.withdrawReleased();
      reportExplained(ledger);
    } else if (isAnsweredAfter(history.answeredAtMs(part), conviction)) {
      replyOn(service, part, conviction.firstCrashAtMs);
    }
  }

  const receive = (from: string, service: string, statement: CauseStatement): void => {
    switch (statement.kind) {
      case 'crashed': {
        const { sighting } = statement;
        recordCrash(service, from, sighting);
        for (const part of sighting.triedParts) causesOf(service).trials.end(part);
        for (const { part } of sighting.parts) replyOn(service, part, sighting.atMs);
        return;
      }
      case 'trying':
        causesOf(service).trials.recordOther(statement.part, clock.monotonicMs());
        return;
      case 'answered':
        causesOf(service).statedAtMs.set(statement.part, clock.monotonicMs());
        recordAnswered(service, statement.part, statement.atMs);
        return;
      case 'convicted':
        causesOf(service).statedAtMs.set(statement.conviction.part, clock.monotonicMs());
        adopt(service, statement.conviction, from);
        return;
      default:
        statement satisfies never;
    }
  };

  const partsOf = ({ demand }: RequestWithParts) => suspectParts(demand);

  /** Returns the suspected parts of a request, with what speaks against each. */
  const suspectedIn = (request: RequestWithParts): readonly [string, Suspicion][] => {
    const { ledger } = causesOf(request.service);
    if (!ledger.hasSuspicions()) return [];
    return partsOf(request).flatMap((part): [string, Suspicion][] => {
      const suspicion = ledger.suspicionOf(part);
      return suspicion === undefined ? [] : [[part, suspicion]];
    });
  };

  /**
   * Returns whether what a request lacks may be the cause of all crashes with a part. The request shows whether it is: it waits
   * for other trials, but for nothing else.
   */
  const mayBeSound = (service: string, part: string, parts: readonly string[]): boolean => {
    const { ledger } = causesOf(service);
    return ledger.suspicionOf(part) !== undefined && ledger.isExplainedWithout(part, parts);
  };

  /** Records answers on parts of a request, and tells the others of those that speak for suspected parts. */
  const recordSound = (service: string, parts: readonly string[]): void => {
    const nowMs = clock.monotonicMs();
    for (const part of parts) {
      const wasSuspected = causesOf(service).ledger.suspicionOf(part) !== undefined;
      const isReleased = recordAnswered(service, part, nowMs);
      if (isReleased || wasSuspected) tell(service, { kind: 'answered', part, atMs: nowMs });
    }
  };

  return {
    convictionOf(request) {
      if (!options.isEnabled()) return undefined;
      const nowMs = clock.monotonicMs();
      const convicting = [...services].filter(([, { ledger }]) => ledger.convictions(nowMs).length);
      if (convicting.length === 0) return undefined;
      const own = causesOf(request.service).history;
      const parts = partsOf(request);
      for (const part of parts) {
        for (const [service, { ledger }] of convicting) {
          const conviction = ledger.convictionOf(part, nowMs);
          // Routes move between services: a part counts for all of them but those that have answered on it.
          const counts = service === request.service || own.answeredAtMs(part) === -Infinity;
          if (conviction !== undefined && counts && !mayBeSound(service, part, parts)) {
            return conviction;
          }
        }
      }
      return undefined;
    },
    heldBy(request) {
      if (!options.isEnabled()) return undefined;
      const nowMs = clock.monotonicMs();
      const { ledger, trials } = causesOf(request.service);
      for (const [part, suspicion] of suspectedIn(request)) {
        const nextAtMs = mayBeSound(request.service, part, partsOf(request))
          ? -Infinity
          : trials.nextAtMs(part, suspicion, ledger.refusedUntilMs(part));
        const untilMs = Math.max(nextAtMs, trials.openUntilMs(part, nowMs) ?? -Infinity);
        if (untilMs > nowMs) return { part, untilMs };
      }
      return undefined;
    },
    beginTrial(request) {
      const tried = [...suspectedIn(request)]
        .sort(([, left], [, right]) => right.crashes - left.crashes)
        .slice(0, MAX_TRIED_AT_ONCE)
        .map(([part]) => part);
      if (tried.length === 0 || !options.isEnabled()) return undefined;
      const { service } = request;
      const parts = partsOf(request);
      logger.event(CRASH_CAUSE_EVENTS.tried, { service, tried });
      return openTrial({
        clock,
        schedule,
        trials: causesOf(service).trials,
        tried,
        parts,
        announce(part) {
          tell(service, { kind: 'trying', part });
        },
        onSurvived: () => recordSound(service, parts),
      });
    },
    recordSent(request) {
      const parts = partsOf(request);
      if (parts.length > 0) {
        causesOf(request.service).history.recordSent(parts, clock.monotonicMs());
      }
    },
    recordAnswered(request) {
      const parts = partsOf(request);
      if (parts.length === 0) return;
      const nowMs = clock.monotonicMs();
      causesOf(request.service).history.countAnswer(nowMs);
      recordSound(request.service, parts);
    },
    recordCrash(request, crash, toldRegions) {
      const { answeredForMs = 0 } = crash;
      const parts = partsOf(request);
      if (parts.length === 0) return;
      if (answeredForMs > MAX_ANSWERED_MS) {
        crash.trial?.end();
        return;
      }
      collector.add(request.service, crash, parts, toldRegions);
    },
    receive(text) {
      const message = parseCauseMessage(text, clock.monotonicMs());
      if (message !== undefined) receive(message.from, message.service, message.statement);
      return message !== undefined;
    },
    count: () =>
      [...services.values()].reduce(
        (sum, { ledger }) => sum + ledger.convictions(clock.monotonicMs()).length,
        0,
      ),
    [Symbol.dispose]() {
      isDisposed = true;
      spread[Symbol.dispose]();
      for (const timer of timers) timer[Symbol.dispose]();
    },
  };
}
