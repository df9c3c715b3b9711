import { pickIndex } from '../src/core/random';
import type { RandomSource } from '../src/core/random';
import { ENDLESS_SHAPES } from '../standins/endless-answers';
import type { EndlessShape } from '../standins/endless-answers';
import type { Fault, FaultKind } from './faults';
import { CUT_MODES } from './links';
import { drawLoss } from './losses';
import { LEAVING_MS, MAX_VERSIONS } from './server-versions';

const MIN_FAULT_MS = 300;
const MAX_FAULT_MS = 4_000;
/** Time for which an instance has no links, ms: its callers are served from 2 s on. */
const MIN_CUT_MS = 4_000;
const MAX_CUT_MS = 8_000;
/** Share of cuts that strike two instances, and of silences that strike two servers, at the same moment. */
const PAIR_SHARE = 0.5;
/** Time for which servers stand still, ms. */
const MIN_STANDSTILL_MS = 800;
const MAX_STANDSTILL_MS = 2_000;
/** Share of standstills that strike all servers. */
const ALL_STAND_SHARE = 0.5;
/** Time after which a server that fell silent is replaced, ms. */
const MIN_SILENCE_MS = 3_000;
const MAX_SILENCE_MS = 6_000;
/** Time for which a server answers without end, ms. */
const MIN_ENDLESS_MS = 1_000;
const MAX_ENDLESS_MS = 4_000;
/** Share of rollouts that replace all servers; the others replace two. */
const WHOLE_ROLLOUT_SHARE = 0.75;
/** Share of the rollouts of all servers that replace them at the same moment. */
const SUDDEN_ROLLOUT_SHARE = 0.7;
/** Share of the rollouts of all servers in which the new ones take over the ids of the old ones. */
const IN_PLACE_SHARE = 0.15;
/** Times for which servers serve beside their successors, ms. */
const DRAINS_MS = [200, 500, 1_000, LEAVING_MS];
/** Limits that servers name, requests a second. */
const LIMITS = [0, 0.25, 1, 4, 20];
/** Pauses that servers ask for, ms; 0 is not stated. */
const PAUSES_MS = [0, 500, 1_500, 3_000];
/** Time for which a server names limits, or all are brittle, ms: the bound holds from 5 s on, in spans of 4 s. */
const MIN_LIMIT_MS = 9_000;
const MAX_LIMIT_MS = 13_000;

/** Draws a time, ms. */
function drawMs(random: RandomSource, minMs: number, maxMs: number): number {
  return minMs + random.next() * (maxMs - minMs);
}

/** Draws the servers that stand still at once: all of them, or `server` and a drawn share of the others. */
function drawStanding(random: RandomSource, server: number, servers: number): readonly number[] {
  const share = random.next() < ALL_STAND_SHARE ? 1 : random.next();
  return Array.from({ length: servers }, (_, index) => index).filter(
    (index) => random.next() < share || index === server,
  );
}

function drawShape(random: RandomSource): EndlessShape {
  const shapes = Object.values(ENDLESS_SHAPES);
  return shapes[pickIndex(random, shapes.length)] ?? { kind: 'garbage' };
}

/** Draws a rollout, or a rollback, of all servers to one software version. */
function drawWholeRollout(
  random: RandomSource,
  servers: number,
  forMs: number,
): Omit<Extract<Fault, { kind: 'rollout' }>, 'kind'> {
  const drainMs = DRAINS_MS[pickIndex(random, DRAINS_MS.length)] ?? LEAVING_MS;
  return {
    servers: Array.from({ length: servers }, (_unused, index) => index),
    to: pickIndex(random, MAX_VERSIONS),
    leaving: random.next() < IN_PLACE_SHARE ? { kind: 'inPlace' } : { kind: 'drains', drainMs },
    forMs: random.next() < SUDDEN_ROLLOUT_SHARE ? 0 : forMs,
  };
}

/** Draws a fault of one of the kinds. */
export function drawFault(
  random: RandomSource,
  kinds: readonly FaultKind[],
  instances: number,
  servers: number,
): Fault {
  const kind = kinds[pickIndex(random, kinds.length)] ?? 'kill';
  const instance = pickIndex(random, instances);
  const server = pickIndex(random, servers);
  const forMs = MIN_FAULT_MS + random.next() * (MAX_FAULT_MS - MIN_FAULT_MS);
  switch (kind) {
    case 'kill':
    case 'term':
    case 'hup':
    case 'silenceStore':
    case 'resetStore':
      return { kind, instance };
    case 'pause':
    case 'cutFromStore':
    case 'delayStore':
      return { kind, instance, forMs };
    case 'cutLinks': {
      const mode = CUT_MODES[pickIndex(random, CUT_MODES.length)] ?? 'reset';
      const cutMs = MIN_CUT_MS + random.next() * (MAX_CUT_MS - MIN_CUT_MS);
      const next = (instance + 1) % instances;
      const cutOff = random.next() < PAIR_SHARE ? [instance, next] : [instance];
      return { kind, instances: cutOff, mode, forMs: cutMs };
    }
    case 'storeBusy':
    case 'storeSilent':
    case 'storeRestored':
      return { kind, forMs };
    case 'forgetHistory':
    case 'changeRoutes':
      return { kind };
    case 'replaceServer':
    case 'restartServer':
    case 'damageEntry':
      return { kind, server };
    case 'departure':
      return { kind, server, forMs };
    case 'rollout':
      return random.next() < WHOLE_ROLLOUT_SHARE
        ? { kind, ...drawWholeRollout(random, servers, forMs) }
        : {
            kind,
            servers: [server, (server + 1) % servers],
            to: undefined,
            leaving: { kind: 'drains', drainMs: LEAVING_MS },
            forMs,
          };
    case 'killAll':
    case 'stopAll':
      return { kind, ...drawLoss(random, instances) };
    case 'standStill': {
      const standMs = drawMs(random, MIN_STANDSTILL_MS, MAX_STANDSTILL_MS);
      return { kind, servers: drawStanding(random, server, servers), forMs: standMs };
    }
    case 'fallSilent': {
      const silentMs = drawMs(random, MIN_SILENCE_MS, MAX_SILENCE_MS);
      const next = (server + 1) % servers;
      const silent = random.next() < PAIR_SHARE ? [server, next] : [server];
      return { kind, servers: silent, forMs: silentMs };
    }
    case 'endless': {
      const endlessMs = drawMs(random, MIN_ENDLESS_MS, MAX_ENDLESS_MS);
      return { kind, server, shape: drawShape(random), forMs: endlessMs };
    }
    case 'refuse':
    case 'refuseAll':
      return { kind, server, pauseMs: PAUSES_MS[pickIndex(random, PAUSES_MS.length)] ?? 0, forMs };
    case 'brittle':
    case 'crashingPart':
      return { kind, forMs: MIN_LIMIT_MS + random.next() * (MAX_LIMIT_MS - MIN_LIMIT_MS) };
    case 'limitServer':
    case 'limitAllServers':
    case 'changeLimit': {
      const perSecond = LIMITS[pickIndex(random, LIMITS.length)] ?? 1;
      const limitMs = MIN_LIMIT_MS + random.next() * (MAX_LIMIT_MS - MIN_LIMIT_MS);
      return { kind, server, perSecond, forMs: limitMs };
    }
    default:
      return kind satisfies never;
  }
}
