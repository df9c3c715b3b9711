import type { Clock } from '../clock';
import type { PoisonOptions } from '../configuration';
import type { DecisionRecorder, TraceLineOf } from '../decision-trace';
import type { Logger } from '../events';
import type { Gossip, GossipEntry } from '../gossip';
import type { Evidence } from '../outcomes';
import { createCrashAnnouncer } from './crash-announcer';
import type { SendToRegions } from './crash-announcer';
import { createCrashLedger } from './crash-ledger';
import { parseCrashMessage } from './crash-messages';
import { POISON_EVENTS } from './events';
import { fingerprintOf } from './fingerprint';
import type { FingerprintInput } from './fingerprint';
import { parsePoisonStatement } from './statement';
import type { PoisonStatement } from './statement';
import type { PoisonVerdict } from './types';

/** A request as the guard sees it. */
export interface GuardedRequest extends FingerprintInput {
  readonly requestId: string;
  readonly attempt: number;
}

/** A try that is about to start at a server. */
export interface WatchedTry {
  /** The whole answer came. */
  answered(): void;
  /** No whole answer came; a lost connection counts as a crash at `atUnixMs`, by default now. */
  failed(evidence: Evidence, atUnixMs?: number): void;
  /** This side gave the try up, which says nothing about the server. */
  abandoned(): void;
}

/** Knows requests that crash servers, here and through what other instances tell. */
export interface PoisonGuard extends Disposable {
  verdict(request: GuardedRequest): PoisonVerdict;
  /** Returns the digest by which the request is known again. Takes milliseconds for a body of megabytes. */
  fingerprint(request: GuardedRequest): string;
  /** Servers at which a suspect had better not run: those it crashed, and those that run another suspect. */
  serversToAvoid(request: GuardedRequest): readonly string[];
  /** Watches one try; `regions` are those in which its fingerprint may be told. */
  watch(request: GuardedRequest, serverId: string, regions: readonly string[]): WatchedTry;
  /** The crash of a server has another cause; it says nothing against the requests that were there. */
  excuse(serverId: string): void;
  /** Processes a message of another instance. Returns whether the text was a valid one. */
  receive(text: string): boolean;
}

/** How the guard reaches the other instances directly. */
export interface DirectChannel {
  readonly instanceId: string;
  readonly send: SendToRegions;
}

/** What the guard needs. */
export interface PoisonGuardOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly gossip: Gossip;
  readonly key: Uint8Array;
  readonly options: () => PoisonOptions;
  /** Reaches the other instances directly. Without it, gossip alone tells them of crashes. */
  readonly direct?: DirectChannel | undefined;
  /** Takes each decision down, where decisions are recorded. */
  readonly record?: DecisionRecorder | undefined;
}

/** Whether a failed try looks like a crash: a silent server and a refused connection do not. */
function looksLikeCrash(evidence: Evidence): boolean {
  return evidence.kind === 'lostAfterSending' && evidence.cause === 'reset';
}

/** A guard that listens to the other instances until it is disposed of. */
export function createPoisonGuard(needs: PoisonGuardOptions): PoisonGuard {
  const { clock, logger, gossip, key, options, direct, record } = needs;
  const announcer =
    direct && createCrashAnnouncer({ clock, instanceId: direct.instanceId, send: direct.send });
  const ledger = createCrashLedger(options);
  const suspectsAt = new Map<string, Set<string>>();

  const recordStep = (fingerprint: string, step: TraceLineOf<'poison'>['step']): void =>
    record?.({
      kind: 'poison',
      fingerprint,
      step,
      options: options(),
      outcome: ledger.verdict(fingerprint, step.atUnixMs).kind,
    });

  // Hashing a body of megabytes takes milliseconds, and nearly always nothing has crashed.
  const verdictOf = (request: GuardedRequest): PoisonVerdict =>
    ledger.size === 0
      ? { kind: 'unknown' }
      : ledger.verdict(fingerprintOf(request, key), clock.unixMs());

  const spread = (fingerprint: string, regions: readonly string[], statement: PoisonStatement) =>
    gossip.put({
      topic: 'poisonFingerprints',
      key: fingerprint,
      regions,
      expiresAtUnixMs: clock.unixMs() + 2 * options().refuseAtMostMs,
      payload: JSON.stringify(statement),
    });

  /** Fingerprints whose crashes this instance has spread by gossip, until they are cleared. */
  const spreadFingerprints = new Set<string>();

  const tell = (fingerprint: string, regions: readonly string[], statement: PoisonStatement) => {
    if (announcer === undefined) {
      spread(fingerprint, regions, statement);
      return;
    }
    announcer.add(regions, { fingerprint, statement });
    // Gossip reaches instances that a direct message did not, such as those that start later. Single crashes are many, and
    // would delay the others.
    const isRepeated = statement.kind === 'crashed' && statement.marks.length > 1;
    if (!isRepeated && !spreadFingerprints.has(fingerprint)) return;
    if (statement.kind === 'crashed') spreadFingerprints.add(fingerprint);
    else spreadFingerprints.delete(fingerprint);
    spread(fingerprint, regions, statement);
  };

  /** Logs crashes that another instance told of, if there are several: single ones are many, and nothing follows from them. */
  const logLearned = (fingerprint: string, origin: string): void => {
    const marks = ledger.marksOf(fingerprint);
    const last = marks.at(-1);
    if (last === undefined || marks.length < 2) return;
    const ageMs = Math.max(0, clock.unixMs() - last.atUnixMs);
    logger.event(POISON_EVENTS.learned, { fingerprint, origin, crashes: marks.length, ageMs });
  };

  const learn = (fingerprint: string, origin: string, statement: PoisonStatement): void => {
    switch (statement.kind) {
      case 'crashed': {
        const knownCrashes = ledger.marksOf(fingerprint).length;
        for (const mark of statement.marks) {
          ledger.note(fingerprint, mark);
          recordStep(fingerprint, { kind: 'crashed', ...mark });
        }
        if (ledger.marksOf(fingerprint).length > knownCrashes) logLearned(fingerprint, origin);
        return;
      }
      case 'cleared':
        ledger.clear(fingerprint, statement.atUnixMs);
        recordStep(fingerprint, { kind: 'cleared', atUnixMs: statement.atUnixMs });
        return;
      default:
        statement satisfies never;
    }
  };
  const learnEntry = ({ key: fingerprint, origin, payload }: GossipEntry): void => {
    const statement = parsePoisonStatement(payload);
    if (statement !== undefined) learn(fingerprint, origin, statement);
  };
  const listening = gossip.onEntry('poisonFingerprints', learnEntry);

  const noteCrash = (
    request: GuardedRequest,
    serverId: string,
    regions: readonly string[],
    atUnixMs: number,
  ) => {
    const fingerprint = fingerprintOf(request, key);
    // A caller may send the request again under the same id, which is then the first attempt once more.
    const tryId = `${request.requestId}/${request.attempt}@${serverId}`;
    ledger.note(fingerprint, { tryId, serverId, atUnixMs });
    recordStep(fingerprint, { kind: 'crashed', tryId, serverId, atUnixMs });
    tell(fingerprint, regions, { kind: 'crashed', marks: [...ledger.marksOf(fingerprint)] });
    const verdict = ledger.verdict(fingerprint, clock.unixMs());
    const event = verdict.kind === 'refused' ? POISON_EVENTS.proven : POISON_EVENTS.suspected;
    const { requestId, service, caller } = request;
    logger.event(event, {
      requestId,
      service: service.name,
      caller: caller.id,
      fingerprint,
      server: serverId,
    });
  };

  /** Holds a suspect's place at a server; the result gives it up. */
  const hold = (fingerprint: string, serverId: string) => {
    const suspects = suspectsAt.get(serverId) ?? new Set();
    suspectsAt.set(serverId, suspects.add(fingerprint));
    return () => {
      suspects.delete(fingerprint);
      if (suspects.size === 0) suspectsAt.delete(serverId);
    };
  };

  return {
    verdict: verdictOf,
    fingerprint: (request) => fingerprintOf(request, key),
    serversToAvoid(request) {
      const verdict = verdictOf(request);
      if (verdict.kind !== 'suspect') return [];
      const fingerprint = fingerprintOf(request, key);
      const shared = [...suspectsAt]
        .filter(([, suspects]) => [...suspects].some((other) => other !== fingerprint))
        .map(([serverId]) => serverId);
      return [...verdict.serverIds, ...shared];
    },
    watch(request, serverId, regions) {
      const isSuspect = verdictOf(request).kind === 'suspect';
      const release = isSuspect ? hold(fingerprintOf(request, key), serverId) : () => {};
      return {
        answered() {
          release();
          if (verdictOf(request).kind === 'unknown') return;
          const fingerprint = fingerprintOf(request, key);
          const atUnixMs = clock.unixMs();
          ledger.clear(fingerprint, atUnixMs);
          recordStep(fingerprint, { kind: 'cleared', atUnixMs });
          tell(fingerprint, regions, { kind: 'cleared', atUnixMs });
          logger.event(POISON_EVENTS.cleared, { requestId: request.requestId, fingerprint });
        },
        abandoned: release,
        failed(evidence, atUnixMs = clock.unixMs()) {
          release();
          if (looksLikeCrash(evidence)) noteCrash(request, serverId, regions, atUnixMs);
        },
      };
    },
    excuse: ledger.excuse,
    receive(text) {
      const message = parseCrashMessage(text, clock.unixMs());
      message?.statements.forEach(({ fingerprint, statement }) =>
        learn(fingerprint, message.from, statement),
      );
      return message !== undefined;
    },
    [Symbol.dispose]() {
      listening[Symbol.dispose]();
      announcer?.[Symbol.dispose]();
    },
  };
}
