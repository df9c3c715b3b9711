import type { Clock } from '../clock';
import { parseLinkMessage, serializeLinkMessage } from './link-messages';

/** The instances that reach no servers of their region, as they state themselves. */
export interface CutInstances {
  /** Whether an instance has stated lately that it reaches no servers. */
  isCutOff(instanceId: string): boolean;
  /** Processes a message of another instance. Returns whether the text was a valid one. */
  receive(text: string): boolean;
  /** States the links of this instance to the others if that is due. Must be called regularly. */
  sendIfDue(isCut: boolean): void;
  count(): number;
}

/** Options of {@link createCutInstances}. */
export interface CutInstancesOptions {
  readonly clock: Pick<Clock, 'monotonicMs'>;
  readonly selfId: string;
  /** Sends a text to all other instances; it may get lost. */
  readonly sendToAll: (text: string) => void;
}

/** Interval between statements of an instance that is cut off, ms. */
const STATE_INTERVAL_MS = 500;
/** Time after which a statement expires, ms: two in a row may be lost. */
const STATEMENT_TTL_MS = 1_600;

/**
 * Creates a record without instances.
 *
 * An instance without links has few requests in progress, so it looks idle: without statements, others would forward
 * requests to it, which it can only refuse.
 */
export function createCutInstances(options: CutInstancesOptions): CutInstances {
  const { clock, selfId, sendToAll } = options;
  const expiresAtMs = new Map<string, number>();
  let wasCut = false;
  let nextSendAtMs = 0;

  const isCutOff = (instanceId: string): boolean =>
    (expiresAtMs.get(instanceId) ?? -Infinity) > clock.monotonicMs();

  return {
    isCutOff,
    receive(text) {
      const message = parseLinkMessage(text);
      if (message === undefined) return false;
      if (message.isCut) expiresAtMs.set(message.from, clock.monotonicMs() + STATEMENT_TTL_MS);
      else expiresAtMs.delete(message.from);
      return true;
    },
    sendIfDue(isCut) {
      const nowMs = clock.monotonicMs();
      const isDue = isCut && nowMs >= nextSendAtMs;
      if (!isDue && isCut === wasCut) return;
      wasCut = isCut;
      nextSendAtMs = nowMs + STATE_INTERVAL_MS;
      sendToAll(serializeLinkMessage({ from: selfId, isCut }));
    },
    count() {
      for (const id of expiresAtMs.keys()) if (!isCutOff(id)) expiresAtMs.delete(id);
      return expiresAtMs.size;
    },
  };
}
