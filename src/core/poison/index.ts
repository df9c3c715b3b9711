/** Requests that crash each server that runs them. */
export { createCrashLedger } from './crash-ledger';
export type { CrashLedger } from './crash-ledger';
export { POISON_EVENTS } from './events';
export { fingerprintKey, fingerprintOf } from './fingerprint';
export type { FingerprintInput } from './fingerprint';
export { createPoisonGuard } from './poison-guard';
export type { GuardedRequest, PoisonGuard, PoisonGuardOptions, WatchedTry } from './poison-guard';
export type { CrashMark, PoisonVerdict } from './types';
