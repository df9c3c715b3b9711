import { z } from 'zod';

/** Reads what the instances of one day wrote, gathered with the times since its beginning. */

/** One log line that speaks of a request. */
export interface RequestLine {
  /** Time since callers began, s. */
  readonly atS: number;
  readonly instance: string;
  readonly event: z.output<typeof eventSchema>;
}

const eventSchema = z.object({
  event: z.number(),
  requestId: z.string(),
  region: z.string(),
  service: z.string().optional(),
  /** Where a request was sent; `toRegion` where that is an instance of another region. */
  to: z.string().optional(),
  toRegion: z.string().optional(),
  promptTokens: z.number().optional(),
  predictedMs: z.number().optional(),
  reason: z.string().optional(),
  exceeded: z.string().optional(),
  largestPart: z.string().optional(),
  absence: z.string().optional(),
  idleServers: z.number().optional(),
  freeSlotsElsewhere: z.number().optional(),
  status: z.number().optional(),
  events: z.number().optional(),
  firstByteMs: z.number().optional(),
  totalMs: z.number().optional(),
  longestPauseMs: z.number().optional(),
  objectiveMs: z.number().optional(),
  pauseObjectiveMs: z.number().optional(),
});

/** `TIME INSTANCE {JSON}`; other lines are passed over. */
const LINE = /^\s*([\d.]+) (\S+) (\{.*\})\s*$/u;

function readLine(text: string): RequestLine | undefined {
  const [, atS = '', instance = '', json = ''] = LINE.exec(text) ?? [];
  if (json === '') return undefined;
  let parsed: unknown;
  try {
    parsed = JSON.parse(json);
  } catch {
    return undefined;
  }
  const reading = eventSchema.safeParse(parsed);
  return reading.success ? { atS: Number(atS), instance, event: reading.data } : undefined;
}

/** The lines of each request, in the order of their times. */
export function readRequests(text: string): ReadonlyMap<string, readonly RequestLine[]> {
  const requests = new Map<string, RequestLine[]>();
  for (const line of text.split('\n')) {
    const read = readLine(line);
    if (read !== undefined) {
      const lines = requests.get(read.event.requestId) ?? [];
      requests.set(read.event.requestId, lines);
      lines.push(read);
    }
  }
  for (const lines of requests.values()) lines.sort((left, right) => left.atS - right.atS);
  return requests;
}
