import process from 'node:process';
import { naiveShares, ticketShares } from './fault-shares';
import { measureTicketCost } from './ticket-cost';

/**
 * What at-most-once costs, and what the usual ways cost instead: `npm run bench:trust [-- --json]`.
 * The same seeds draw the same kinds of faults for each way.
 */
const SCHEDULES = 1_000;

async function main(): Promise<void> {
  const shares = [
    await naiveShares('retry on error', SCHEDULES),
    await naiveShares('caller key, owner by hashing', SCHEDULES),
    await ticketShares(SCHEDULES),
  ];
  const cost = await measureTicketCost();
  if (process.argv.includes('--json')) {
    console.log(JSON.stringify({ bench: 'trust', shares, cost }));
    return;
  }
  console.log(`${SCHEDULES} schedules of faults a way:`);
  console.table(shares);
  console.log('Cost of a ticket:');
  console.table(cost);
}

void main();
