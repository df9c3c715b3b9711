import { UNKNOWN_KEY, accountOfKey } from './accounts';
import type { BrokenPromise, CallerAttempt, ServerRun } from './types';

/** Statuses that promise that a request has not run and never will. */
const NOT_RUN = new Set([408, 421, 429, 503]);
const OK = 200;

/** Returns the body that a server sends for a request without a stream. */
export function plainBody(requestId: string): string {
  return `answer to ${requestId}`;
}

/** Returns the text of one event of a stream, written by a server of a software version. */
export function eventText(requestId: string, eventId: number, softwareVersion = 'v1'): string {
  return `id: ${eventId}\ndata: ${requestId} ${eventId} of ${softwareVersion}\n\n`;
}

const VERSION_OF_EVENT = / of (\S+)(?=\n\n)/gu;

/** Returns the software versions that wrote the complete events of a body. */
export function versionsIn(body: string): readonly string[] {
  return [...body.matchAll(VERSION_OF_EVENT)].map(([, version]) => version ?? '');
}

/** Comments of a stream, which mean nothing to its caller. */
const COMMENT = /^:.*\n\n/gmu;

function withoutVersions(body: string): string {
  return body.replace(VERSION_OF_EVENT, '').replace(COMMENT, '');
}

/** Number of events of each stream. */
export const EVENTS_PER_STREAM = 8;

/** Returns the complete body of a stream after the event `lastEventId`. */
export function streamBody(requestId: string, lastEventId = 0, softwareVersion = 'v1'): string {
  return Array.from({ length: EVENTS_PER_STREAM - lastEventId }, (_, index) =>
    eventText(requestId, lastEventId + index + 1, softwareVersion),
  ).join('');
}

function expectedBody({ requestId, kind, takesUp }: CallerAttempt): string {
  return kind === 'stream' ? streamBody(requestId, takesUp?.lastEventId) : plainBody(requestId);
}

/** Checks that a request ran for the account of its caller and for no other one. */
function judgeAccount(
  { requestId, key, status }: CallerAttempt,
  runs: readonly ServerRun[],
): BrokenPromise[] {
  const broken: BrokenPromise[] = [];
  const note = (promise: BrokenPromise['promise'], detail: string) =>
    broken.push({ promise, requestId, detail });
  if (key === UNKNOWN_KEY && (runs.length > 0 || status === OK)) {
    note('unknownKeyServed', `${status} after ${runs.length} runs`);
  }
  const wrong = runs.find(({ account }) => account !== accountOfKey(key));
  if (wrong !== undefined) note('wrongAccount', `${wrong.account} at ${wrong.serverId}`);
  const seeing = runs.find(({ sawKey }) => sawKey);
  if (seeing !== undefined) note('keyPassedOn', seeing.serverId);
  return broken;
}

/** Checks the result of one request against the servers that ran it. */
function judge(attempt: CallerAttempt, serverIds: readonly string[]): BrokenPromise[] {
  const { requestId, kind, status, maxAttempts } = attempt;
  const broken: BrokenPromise[] = [];
  const note = (promise: BrokenPromise['promise'], detail: string) =>
    broken.push({ promise, requestId, detail });

  if (kind === 'nonIdempotent' && serverIds.length > 1) note('ranTwice', serverIds.join(', '));
  if (serverIds.length > maxAttempts) note('tooManyServers', serverIds.join(', '));
  const isRefused = status !== undefined && NOT_RUN.has(status);
  if (isRefused && kind === 'nonIdempotent' && serverIds.length > 0) {
    note('refusedButRan', `${status} after ${serverIds.join(', ')}`);
  }
  if (status !== OK) return broken;
  // Which versions wrote the events is checked over all tries of a caller.
  const expected = withoutVersions(expectedBody(attempt));
  const body = withoutVersions(attempt.body);
  const isRight = attempt.isWhole ? body === expected : expected.startsWith(body);
  if (kind === 'stream' && !isRight) {
    note('corruptStream', JSON.stringify(attempt.body.slice(0, 200)));
  }
  if (kind !== 'stream' && attempt.isWhole && (!isRight || !attempt.isSigned)) {
    note('wrongAnswer', JSON.stringify(attempt.body.slice(0, 200)));
  }
  return broken;
}

/** Compares the results that callers received with the requests that servers ran. */
export function checkPromises(
  attempts: readonly CallerAttempt[],
  runs: readonly ServerRun[],
): readonly BrokenPromise[] {
  const runsOf = new Map<string, ServerRun[]>();
  for (const run of runs) {
    const some = runsOf.get(run.requestId) ?? [];
    some.push(run);
    runsOf.set(run.requestId, some);
  }
  return attempts.flatMap((attempt) => {
    const some = runsOf.get(attempt.requestId) ?? [];
    const serverIds = some.map(({ serverId }) => serverId);
    return [...judge(attempt, serverIds), ...judgeAccount(attempt, some)];
  });
}
