import { readFileSync } from 'node:fs';
import { judgeRequest } from './judge-request';
import type { JudgedRequest } from './judge-request';
import { rankBySize } from './rank-by-size';
import { readRequests } from './read-log';
import { readRefusalGrounds } from './refusal-grounds';
import type { RefusalGround } from './refusal-grounds';

/**
 * Says of a day why requests were late, refused or failed: `npm run explain:day -- LOG`, where LOG holds what
 * all instances wrote, each line behind a time in seconds and the instance's name.
 */

const SLICE_S = 4;

function countBy<Request>(
  requests: readonly Request[],
  key: (request: Request) => string,
): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const request of requests) counts.set(key(request), (counts.get(key(request)) ?? 0) + 1);
  return counts;
}

function servedShare(requests: readonly JudgedRequest[]): string {
  const served = requests.filter(({ isServed }) => isServed).length;
  return (served / Math.max(1, requests.length)).toFixed(2);
}

function printTable<Request extends JudgedRequest>(
  title: string,
  requests: readonly Request[],
  column: (request: Request) => string,
): void {
  const columns = [...new Set(requests.map(column))].sort();
  const causes = [...countBy(requests, ({ cause }) => cause)].sort(
    (left, right) => right[1] - left[1],
  );
  const cells = countBy(requests, (request) => `${request.cause}/${column(request)}`);
  console.log(`\n| ${title} | ${columns.join(' | ')} | all |`);
  console.log(`| --- |${' ---: |'.repeat(columns.length + 1)}`);
  for (const [cause, all] of causes) {
    const row = columns.map((name) => cells.get(`${cause}/${name}`) ?? 0);
    console.log(`| ${cause} | ${row.join(' | ')} | ${all} |`);
  }
  const served = columns.map((name) =>
    servedShare(requests.filter((request) => column(request) === name)),
  );
  console.log(`| share that was served | ${served.join(' | ')} | ${servedShare(requests)} |`);
}

function printGrounds(grounds: readonly RefusalGround[]): void {
  const rooms = [...new Set(grounds.map(({ room }) => room))].sort();
  const cells = countBy(grounds, ({ ground, room }) => `${ground}/${room}`);
  const rows = [...countBy(grounds, ({ ground }) => ground)].sort(
    (left, right) => right[1] - left[1],
  );
  console.log(`\n| refused as overloaded, by instance | ${rooms.join(' | ')} | all |`);
  console.log(`| --- |${' ---: |'.repeat(rooms.length + 1)}`);
  for (const [ground, all] of rows) {
    console.log(
      `| ${ground} | ${rooms.map((room) => cells.get(`${ground}/${room}`) ?? 0).join(' | ')} | ${all} |`,
    );
  }
}

const path = process.argv[2];
if (path === undefined) {
  console.error('usage: npm run explain:day -- LOG');
  process.exit(2);
}
const linesByRequest = [...readRequests(readFileSync(path, 'utf8')).values()];
const requests = linesByRequest.flatMap((lines) => {
  const judged = judgeRequest(lines);
  return judged === undefined ? [] : [judged];
});
printTable('cause by size', requests, ({ size }) => size);
printTable('cause by region', requests, ({ region }) => region);
printTable('cause by second', requests, ({ atS }) =>
  String(Math.floor(atS / SLICE_S) * SLICE_S).padStart(2, '0'),
);
printGrounds(linesByRequest.flatMap(readRefusalGrounds));
for (const { kind, ranked } of rankBySize(requests)) {
  printTable(`${kind}: cause by rank of size`, ranked, ({ rank }) => rank);
}
