import { createDisposableStore } from '../src/core/lifetime';
import { sampleKey } from './caller-client';
import { startDeployment, waitUntilWhole } from './deployment';
import type { Deployment } from './deployment';
import { printResults, runStep } from './report';
import type { DemoResult } from './report';
import { stepsOf } from './steps';
import type { DemoCast } from './steps';

/** Runs both sample deployments on loopback and prints what callers get. Exits with 0 only if all steps succeed. */

const CASTS: Readonly<Record<string, DemoCast>> = {
  omaruru: {
    caller: 'builders-desk',
    home: 'rundu',
    model: 'kit-large',
    boundCaller: 'rundu-only',
    boundRegion: 'rundu',
    barredRegion: 'windhoek',
    plainService: 'order-and-stock',
    readPath: '/stock?item=truss',
    orderPath: '/orders',
    orderBody: 'one truss pack',
  },
  hooghly: {
    caller: 'kolkata-desk',
    home: 'kolkata',
    model: 'crew-large',
    boundCaller: 'dossiers',
    boundRegion: 'kolkata',
    barredRegion: 'siliguri',
    plainService: 'placement',
    readPath: '/slots?ship=7',
    orderPath: '/bookings',
    orderBody: 'one cabin for one cook',
  },
};

function printCommands(deployment: Deployment, cast: DemoCast): void {
  const { callerAddress } = deployment.instanceIn(cast.home).addresses;
  const authorization = `-H 'Authorization: Bearer ${sampleKey(cast.caller)}'`;
  console.log(`\n${deployment.name}:`);
  console.log(`  curl ${authorization} http://${callerAddress}/v1/entry`);
  console.log(
    `  curl -N ${authorization} http://${callerAddress}/v1/chat/completions -d '{"model":"${cast.model}","stream":true,"messages":[]}'`,
  );
  console.log(
    `  curl ${authorization} 'http://${callerAddress}/services/${cast.plainService}${cast.readPath}'`,
  );
}

function nextStopSignal(): Promise<void> {
  return new Promise((resolve) => {
    process.once('SIGINT', () => resolve());
    process.once('SIGTERM', () => resolve());
  });
}

async function main(): Promise<number> {
  const stayUp = process.argv.includes('--serve');
  const owned = createDisposableStore();
  try {
    const results: DemoResult[] = [];
    for (const [name, cast] of Object.entries(CASTS)) {
      console.log(`Starting ${name}: six instances as processes, eleven servers as stand-ins ...`);
      const deployment = owned.add(await startDeployment(name));
      await waitUntilWhole(deployment.instances);
      if (stayUp) printCommands(deployment, cast);
      else {
        for (const step of stepsOf(deployment, cast)) results.push(await runStep(name, step));
      }
    }
    if (stayUp) {
      console.log('\nCtrl-C stops it.');
      await nextStopSignal();
      return 0;
    }
    printResults(results);
    const isAsStated = results.every((result) => result.isAsStated);
    console.log(isAsStated ? 'All went as stated.' : 'Not all went as stated.');
    return isAsStated ? 0 : 1;
  } finally {
    await owned[Symbol.asyncDispose]();
  }
}

void main().then((code) => {
  process.exitCode = code;
});
