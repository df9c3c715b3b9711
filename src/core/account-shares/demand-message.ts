import { z } from 'zod';
import { parseJsonText } from '../json-text';
import type { DemandReport } from './types';

/** Maximum number of accounts in a report. */
export const MAX_REPORTED_ACCOUNTS = 32;
/** Maximum length of a report, characters: it fits into one datagram unless names have many characters outside ASCII. */
const MAX_REPORT_CHARACTERS = 1_350;

/** Cost per second. No instance has a demand above the maximum, which bounds the effect of a malformed report. */
const amount = z.number().min(0).max(1e12);

const messageSchema = z.object({
  kind: z.literal('accountDemand'),
  from: z.string().min(1),
  incarnation: z.number(),
  sequence: z.int().min(0),
  service: z.string(),
  /** Tuples without field names, so that 32 accounts fit into one datagram: account, cost, standard error. */
  accounts: z.array(z.tuple([z.string(), amount, amount])).max(MAX_REPORTED_ACCOUNTS),
  rest: z.tuple([z.int().min(0), amount]),
  admitted: amount,
  refused: amount,
  capacity: amount,
  sinceFullMs: z.number().min(0),
});

/** Serializes a report to text; drops the smallest accounts into the rest if the text would be too long. */
export function serializeDemandReport(report: DemandReport): string {
  const { accounts, rest } = report;
  const text = JSON.stringify({
    kind: 'accountDemand',
    from: report.from,
    incarnation: report.incarnation,
    sequence: report.sequence,
    service: report.service,
    accounts: accounts.map(({ account, cost, variance }) => [
      account,
      Math.round(cost),
      Math.round(Math.sqrt(variance)),
    ]),
    rest: [rest.count, Math.round(rest.cost)],
    admitted: Math.round(report.admittedCost),
    refused: Math.round(report.refusedCost),
    capacity: Math.round(report.capacityCost),
    sinceFullMs: Math.min(Number.MAX_SAFE_INTEGER, Math.round(report.sinceFullMs)),
  } satisfies z.input<typeof messageSchema>);
  const smallest = accounts.at(-1);
  if (text.length <= MAX_REPORT_CHARACTERS || smallest === undefined) return text;
  return serializeDemandReport({
    ...report,
    accounts: accounts.slice(0, -1),
    rest: { count: rest.count + 1, cost: rest.cost + smallest.cost },
  });
}

/** Parses a report; returns undefined if the text is not a valid one. */
export function parseDemandReport(text: string): DemandReport | undefined {
  const message = parseJsonText(messageSchema, text);
  if (message === undefined) return undefined;
  const { accounts, rest, admitted, refused, capacity, ...others } = message;
  const [count, cost] = rest;
  return {
    from: others.from,
    incarnation: others.incarnation,
    sequence: others.sequence,
    service: others.service,
    sinceFullMs: others.sinceFullMs,
    accounts: accounts.map(([account, accountCost, error]) => ({
      account,
      cost: accountCost,
      variance: error ** 2,
    })),
    rest: { count, cost },
    admittedCost: admitted,
    refusedCost: refused,
    capacityCost: capacity,
  };
}
