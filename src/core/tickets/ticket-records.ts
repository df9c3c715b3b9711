import type { Outcome } from '../outcomes';
import type { TicketCounts, TicketRecord } from './types';

/**
 * How long a record is kept after its ticket has expired. While it is kept, the owner can vouch for an expired
 * ticket without a record: it was never presented. Longer than any client goes on asking; a record without its
 * answer takes a few hundred bytes.
 */
export const VOUCH_AFTER_EXPIRY_MS = 600_000;

/** Time between two sweeps: rare enough to cost nothing, often enough that memory follows the load. */
export const SWEEP_INTERVAL_MS = 5_000;

/** Bounds of the records. */
export interface RecordLimits {
  readonly records: number;
  /** All held answers together, bytes. */
  readonly heldBytes: number;
}

/** Presented tickets of this process. Memory is bounded by count and by bytes of answers. */
export interface TicketRecords {
  find(ticketId: string): TicketRecord | undefined;
  /** False when there is no room; the caller is refused before anything is sent. */
  add(record: TicketRecord, nowMs: number): boolean;
  /** Notes the end of a run, and lets go of the oldest answers where there are too many bytes. */
  noteEnd(record: TicketRecord, nowMs: number): void;
  counts(): TicketCounts;
}

/** Empty records. */
export function createTicketRecords(limits: RecordLimits): TicketRecords {
  const records = new Map<string, TicketRecord>();
  /** Records with a held answer, oldest first. */
  const holding = new Set<TicketRecord>();
  const ends: Record<Outcome | 'answered', number> = { answered: 0, notRun: 0, ran: 0, unknown: 0 };
  let heldBytes = 0;
  let running = 0;
  let nextSweepAtMs = 0;

  const letGo = (record: TicketRecord) => {
    if (record.state.kind !== 'answered') return;
    if (!holding.delete(record)) return;
    heldBytes -= record.state.answer?.bodyBytes ?? 0;
    record.forgetAnswer();
  };

  const sweep = (nowMs: number) => {
    if (nowMs < nextSweepAtMs) return;
    nextSweepAtMs = nowMs + SWEEP_INTERVAL_MS;
    for (const record of records.values()) {
      if (record.state.kind === 'running') continue;
      if (nowMs >= record.expiresAtMs) letGo(record);
      if (nowMs >= record.expiresAtMs + VOUCH_AFTER_EXPIRY_MS) records.delete(record.ticketId);
    }
  };

  return {
    find: (ticketId) => records.get(ticketId),
    add(record, nowMs) {
      sweep(nowMs);
      if (records.size >= limits.records) return false;
      records.set(record.ticketId, record);
      running += 1;
      return true;
    },
    noteEnd(record, nowMs) {
      running -= 1;
      const { state } = record;
      if (state.kind === 'refused') ends[state.refusal.outcome] += 1;
      else ends.answered += 1;
      if (state.kind === 'answered' && state.answer !== undefined) {
        holding.add(record);
        heldBytes += state.answer.bodyBytes;
      }
      for (const oldest of holding) {
        if (heldBytes <= limits.heldBytes) break;
        letGo(oldest);
      }
      sweep(nowMs);
    },
    counts: () => ({ records: records.size, running, heldBytes, ends: { ...ends } }),
  };
}
