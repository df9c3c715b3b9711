import { TEST_CONFIGURATION } from '../platform/testing/gateway';
import { REGIONS } from '../platform/testing/process-settings';
import { SOAK_ACCOUNTS } from './accounts';

/** Path whose requests take long, so that several are in progress when something breaks; all of them are the same. */
export const LONG_PATH = '/long/1';

/** Start of the paths whose streams are sent to one server only, so that their callers take them up. */
export const SOLO_PREFIX = '/solo/';

/** Start of the paths whose streams take long, so that many are open when instances end. */
export const SLOW_PREFIX = '/slow/';

/** Returns the start of the paths whose requests may run in one region only. */
export function boundPrefix(region: string): string {
  return `/bound-to-${region}/`;
}

const SAFE_ROUTE = {
  Host: 'kits.example',
  Kind: 'safe',
  Service: 'app',
  MaxAttempts: 2,
  TimeoutMs: 2_000,
  TargetLatencyMs: 500,
  Priority: 0,
  HomeRegions: [],
};
const ROUTES = [
  ...TEST_CONFIGURATION.Routes,
  { ...SAFE_ROUTE, Name: 'long', Prefix: '/long/' },
  {
    ...SAFE_ROUTE,
    Name: 'solo',
    Prefix: SOLO_PREFIX,
    Kind: 'streaming',
    Resumable: true,
    MaxAttempts: 1,
  },
  {
    ...SAFE_ROUTE,
    Name: 'slow',
    Prefix: SLOW_PREFIX,
    Kind: 'streaming',
    Resumable: true,
  },
  ...REGIONS.map((region) => ({
    ...SAFE_ROUTE,
    Name: `bound-to-${region}`,
    Prefix: boundPrefix(region),
    HomeRegions: [region],
  })),
];

/** Timeouts of the routes in turn, ms: longer than the callers' deadline, so that only that one ends a request. */
const TIMEOUTS_MS = [4_500, 6_000];
/** Idle timeouts of callers' connections in turn, ms. */
const IDLE_TIMEOUTS_MS = [5_000, 4_000];

/** A configuration as operators write it. */
export interface WrittenConfiguration extends Readonly<Record<string, unknown>> {
  readonly Routes: readonly object[];
}

/** Returns a version of the tested configuration. Each changes the timeouts of the one before. */
export function configurationOf(version: number): WrittenConfiguration {
  const turn = version % TIMEOUTS_MS.length;
  return {
    ...TEST_CONFIGURATION,
    Version: version,
    Routes: ROUTES.map((route) => ({ ...route, TimeoutMs: TIMEOUTS_MS[turn] })),
    Limits: { ...TEST_CONFIGURATION.Limits, IdleTimeoutMs: IDLE_TIMEOUTS_MS[turn] },
    Tenants: SOAK_ACCOUNTS,
  };
}
