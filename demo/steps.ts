import { waitFor } from '../src/testing';
import { send, sampleKey, streamChat } from './caller-client';
import { DEMO_OPERATOR_KEY, waitUntilWhole } from './deployment';
import type { Deployment } from './deployment';
import { fetchStatus } from './operator-client';
import type { InstanceProcess } from './instance-process';
import type { DemoStep } from './report';

/** Differences between the two deployments of the demonstration. */
export interface DemoCast {
  /** Caller that is allowed in all regions, and its own region. */
  readonly caller: string;
  readonly home: string;
  readonly model: string;
  /** Caller whose data may be in one region only, and a region in which it may not be. */
  readonly boundCaller: string;
  readonly boundRegion: string;
  readonly barredRegion: string;
  readonly plainService: string;
  readonly readPath: string;
  readonly orderPath: string;
  readonly orderBody: string;
}

interface EntryBody {
  readonly entry: { readonly address: string; readonly region: string };
}

interface ProblemBody {
  readonly outcome?: string;
}

function enginesRan(deployment: Deployment): number {
  return [...deployment.engines.values()].reduce((sum, one) => sum + one.ledger.entries.length, 0);
}

function streamedQuote(deployment: Deployment, cast: DemoCast): DemoStep {
  return {
    name: 'entry, then a streamed answer',
    expected: 'entry at home; 24 tokens, whole',
    async run() {
      const key = sampleKey(cast.caller);
      const anyInstance = deployment.instances[0];
      if (anyInstance === undefined) throw new Error('no instance');
      const asked = await send(anyInstance, { method: 'GET', path: '/v1/entry', key });
      const { entry } = JSON.parse(asked.text) as EntryBody;
      const text = await streamChat(entry.address, key, cast.model, 'a floor plan');
      const tokens = text.trim().split(' ').length;
      const isAsStated = entry.region === cast.home && tokens === 24;
      return { got: `entry in ${entry.region}; ${tokens} tokens`, isAsStated };
    },
  };
}

function stockCheck(deployment: Deployment, cast: DemoCast): DemoStep {
  return {
    name: 'a look-up',
    expected: '200 from the application',
    async run() {
      const answer = await send(deployment.instanceIn(cast.home), {
        method: 'GET',
        path: `/services/${cast.plainService}${cast.readPath}`,
        key: sampleKey(cast.caller),
      });
      const { path } = JSON.parse(answer.text) as { path: string };
      return {
        got: `${answer.status} ${path}`,
        isAsStated: answer.status === 200 && path === cast.readPath,
      };
    },
  };
}

/** Counts the runs of an order over all stand-in applications. */
function totalRuns(deployment: Deployment, bodyText: string): number {
  return [...deployment.applications.values()].reduce(
    (sum, application) => sum + application.ledger.runsOfBody(bodyText),
    0,
  );
}

function orderTwice(deployment: Deployment, cast: DemoCast): DemoStep {
  return {
    name: 'an order sent twice with one ticket',
    expected: '428 and a ticket; then run once, one answer',
    async run() {
      const call = {
        method: 'POST' as const,
        path: `/services/${cast.plainService}${cast.orderPath}`,
        key: sampleKey(cast.caller),
        body: cast.orderBody,
      };
      const instance = deployment.instanceIn(cast.home);
      const asked = await send(instance, call);
      const headers = { 'idempotency-ticket': String(asked.headers['idempotency-ticket']) };
      const first = await send(instance, { ...call, headers });
      // The second request goes to another instance, as if the caller had lost the first one.
      const another = deployment.instances.find((one) => one !== instance) ?? instance;
      const second = await send(another, { ...call, headers });
      const runs = totalRuns(deployment, cast.orderBody);
      const isSame = first.text === second.text;
      return {
        got: `${asked.status}; ${first.status}, ${second.status}, ${isSame ? 'same' : 'other'} answer; ${runs} run`,
        isAsStated: asked.status === 428 && first.status === 200 && isSame && runs === 1,
      };
    },
  };
}

function lostReply(deployment: Deployment, cast: DemoCast): DemoStep {
  return {
    name: 'an order whose reply is lost, sent again',
    expected: 'unknown, never notRun; run once',
    async run() {
      const call = {
        method: 'POST' as const,
        path: `/services/${cast.plainService}${cast.orderPath}`,
        key: sampleKey(cast.caller),
        body: `${cast.orderBody}, reply lost`,
      };
      const instance = deployment.instanceIn(cast.home);
      const asked = await send(instance, call);
      const headers = { 'idempotency-ticket': String(asked.headers['idempotency-ticket']) };
      const applications = [...deployment.applications.values()];
      for (const { behaviour } of applications) behaviour.after = 'drop';
      const answers = [
        await send(instance, { ...call, headers }),
        await send(instance, { ...call, headers }),
      ];
      for (const { behaviour } of applications) behaviour.after = 'answer';
      const outcomes = answers.map(({ text }) => (JSON.parse(text) as ProblemBody).outcome);
      const runs = totalRuns(deployment, call.body);
      return {
        got: `${outcomes.join(', ')}; ${runs} run`,
        isAsStated: outcomes.every((outcome) => outcome === 'unknown') && runs === 1,
      };
    },
  };
}

function barredRegion(deployment: Deployment, cast: DemoCast): DemoStep {
  return {
    name: 'a caller bound to one region, at another',
    expected: '421 notRun; no engine saw it',
    async run() {
      const ranBefore = enginesRan(deployment);
      const answer = await send(deployment.instanceIn(cast.barredRegion), {
        method: 'POST',
        path: '/v1/chat/completions',
        key: sampleKey(cast.boundCaller),
        body: JSON.stringify({ model: cast.model, messages: [] }),
      });
      const { outcome } = JSON.parse(answer.text) as ProblemBody;
      const newRuns = enginesRan(deployment) - ranBefore;
      return {
        got: `${answer.status} ${outcome}; ${newRuns} engines saw it`,
        isAsStated: answer.status === 421 && outcome === 'notRun' && newRuns === 0,
      };
    },
  };
}

/** Time after which instances have noticed; how many they have given up by then is printed, not checked. */
const CUT_MS = 6_000;

/** Returns the other instances that an instance considers alive. */
async function aliveOthers(instance: InstanceProcess): Promise<number> {
  const status = await fetchStatus(instance, DEMO_OPERATOR_KEY);
  return (status?.members.filter((member) => member.status === 'alive').length ?? 1) - 1;
}

/** Returns the incarnation of an instance as known to each of the others. */
async function incarnationsSeen(deployment: Deployment, instanceId: string): Promise<number[]> {
  const statuses = await Promise.all(
    deployment.instances.map((instance) => fetchStatus(instance, DEMO_OPERATOR_KEY)),
  );
  return statuses.map(
    (status) =>
      status?.members.find((member) => member.instanceId === instanceId)?.incarnation ?? 0,
  );
}

function partition(deployment: Deployment, cast: DemoCast): DemoStep {
  return {
    name: 'all links between instances cut',
    expected: 'each region serves its own; views heal',
    async run() {
      for (const link of deployment.links) {
        link.refuse();
        link.resetOpen();
      }
      await new Promise((resolve) => {
        setTimeout(resolve, CUT_MS);
      });
      const key = sampleKey(cast.boundCaller);
      const instance = deployment.instanceIn(cast.boundRegion);
      const others = await aliveOthers(instance);
      const text = await streamChat(instance.addresses.callerAddress, key, cast.model, 'cut off');
      const tokens = text.trim().split(' ').length;
      for (const link of deployment.links) link.accept();
      const healingFromMs = performance.now();
      await waitUntilWhole(deployment.instances);
      const healedMs = Math.round(performance.now() - healingFromMs);
      return {
        got: `${tokens} tokens while cut (${others} others seen); whole ${healedMs} ms after`,
        isAsStated: tokens === 24,
      };
    },
  };
}

function newVersion(deployment: Deployment): DemoStep {
  return {
    name: 'a new version of the configuration',
    expected: 'in force on all instances',
    async run() {
      const version = deployment.configuration.version + 1;
      const publishedAtMs = performance.now();
      deployment.publish({ ...deployment.configuration, version });
      await waitFor(async () => {
        const statuses = await Promise.all(
          deployment.instances.map((instance) => fetchStatus(instance, DEMO_OPERATOR_KEY)),
        );
        return statuses.every((status) => status?.configurationVersion === version);
      }, `version ${version} everywhere`);
      const tookMs = Math.round(performance.now() - publishedAtMs);
      return { got: `version ${version} everywhere after ${tookMs} ms`, isAsStated: true };
    },
  };
}

function replaceInstance(deployment: Deployment): DemoStep {
  return {
    name: 'an instance killed and replaced',
    expected: 'the others know its new incarnation',
    async run() {
      const index = deployment.instances.length - 1;
      const instanceId = deployment.instances[index]?.settings.instanceId ?? '';
      const [before = 0] = await incarnationsSeen(deployment, instanceId);
      await deployment.instances[index]?.kill();
      const startedAtMs = performance.now();
      await deployment.restart(index);
      await waitFor(
        async () => (await incarnationsSeen(deployment, instanceId)).every((seen) => seen > before),
        'the new incarnation everywhere',
      );
      await waitUntilWhole(deployment.instances);
      const tookMs = Math.round(performance.now() - startedAtMs);
      return { got: `new incarnation known everywhere after ${tookMs} ms`, isAsStated: true };
    },
  };
}

/** The steps of one deployment, in order. */
export function stepsOf(deployment: Deployment, cast: DemoCast): DemoStep[] {
  return [
    streamedQuote(deployment, cast),
    stockCheck(deployment, cast),
    orderTwice(deployment, cast),
    lostReply(deployment, cast),
    barredRegion(deployment, cast),
    newVersion(deployment),
    partition(deployment, cast),
    replaceInstance(deployment),
  ];
}
