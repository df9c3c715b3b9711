import { Agent, request } from 'undici';
import { errorText } from '../core/errors';

/** A caller that follows `/v1/entry` as the documentation for callers tells it to. */

/** What became of one request. */
export type CallResult =
  | { readonly kind: 'answered'; readonly text: string }
  /** The gateway said that it did not run, or no connection was made; asked again elsewhere. */
  | { readonly kind: 'notRun' }
  /** Anything else: a caller can't know what happened. */
  | { readonly kind: 'lost'; readonly reason: string };

/** What a caller has met so far. */
export interface CallerTotals {
  answered: number;
  notRun: number;
  lost: string[];
}

/** A caller with kept connections. */
export interface EntryCaller extends AsyncDisposable {
  readonly totals: CallerTotals;
  /** Address of the instance that it uses now. */
  entryAddress(): string | undefined;
  /** Sends one streamed model request, asking for an entry first where needed; tries again when not run. */
  ask(): Promise<void>;
}

interface EntryBody {
  readonly entry: { readonly address: string };
  readonly fallbacks: readonly { readonly address: string }[];
}

const NEVER_CONNECTED = ['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT'];
const MAX_TRIES = 20;
/** How long an entry answer is used; far shorter than real callers do, since tests are short. */
const ENTRY_USED_REQUESTS = 10;

function wasNeverConnected(error: unknown): boolean {
  return error instanceof Error && 'code' in error && NEVER_CONNECTED.includes(String(error.code));
}

/** A caller with `key`, which finds its first instance in `directory`, a list that may be stale. */
export function createEntryCaller(key: string, directory: readonly string[]): EntryCaller {
  const agent = new Agent({ connect: { timeout: 1_000 } });
  const headers = { authorization: `Bearer ${key}` };
  const totals: CallerTotals = { answered: 0, notRun: 0, lost: [] };
  const known = new Set(directory);
  let entries: string[] = [];
  let usedRequests = 0;

  const askForEntry = async (): Promise<void> => {
    for (const address of [...entries, ...known]) {
      try {
        const answer = await agent.request({
          origin: `http://${address}`,
          path: '/v1/entry',
          method: 'GET',
          headers,
        });
        const body = (await answer.body.json()) as Partial<EntryBody>;
        if (answer.statusCode !== 200 || body.entry === undefined) continue;
        entries = [body.entry, ...(body.fallbacks ?? [])].map((entry) => entry.address);
        entries.forEach((entry) => known.add(entry));
        usedRequests = 0;
        return;
      } catch {
        // The next address may answer.
      }
    }
  };

  const send = async (address: string): Promise<CallResult> => {
    try {
      const answer = await request(`http://${address}/v1/chat/completions`, {
        dispatcher: agent,
        method: 'POST',
        headers,
        body: JSON.stringify({ model: 'kit-large', stream: true, messages: [] }),
      });
      const text = await answer.body.text();
      if (answer.statusCode === 200) return { kind: 'answered', text };
      const { outcome, type } = JSON.parse(text) as { outcome?: string; type?: string };
      if (outcome === 'notRun') return { kind: 'notRun' };
      return { kind: 'lost', reason: `${answer.statusCode} ${type} ${outcome}` };
    } catch (error) {
      if (wasNeverConnected(error)) return { kind: 'notRun' };
      return { kind: 'lost', reason: errorText(error) };
    }
  };

  return {
    totals,
    entryAddress: () => entries[0],
    async ask() {
      for (let attempt = 0; attempt < MAX_TRIES; attempt += 1) {
        if (entries.length === 0 || usedRequests >= ENTRY_USED_REQUESTS) await askForEntry();
        const [address] = entries;
        if (address === undefined) continue;
        usedRequests += 1;
        const result = await send(address);
        switch (result.kind) {
          case 'answered':
            if (/t0 .*t7 .*\[DONE\]/s.test(result.text)) totals.answered += 1;
            else totals.lost.push('an answer that is not whole');
            return;
          case 'notRun':
            totals.notRun += 1;
            entries = entries.slice(1);
            break;
          case 'lost':
            totals.lost.push(result.reason);
            return;
          default:
            result satisfies never;
        }
      }
      totals.lost.push('no instance took the request');
    },
    [Symbol.asyncDispose]: () => agent.destroy(),
  };
}
