/** Client accounts of a soak, and the account of each caller. */

/** A key of no account. */
export const UNKNOWN_KEY = 'k-of-nobody';

/** Accounts as operators publish them. The callers of one of them exceed its quota. */
export const SOAK_ACCOUNTS = [
  { Name: 'farm', ApiKeys: ['k-farm'], Priority: 1 },
  { Name: 'dealer', ApiKeys: ['k-dealer'], Unit: 'tokens', RatePerS: 1_000_000, Burst: 1_000_000 },
  {
    Name: 'yard',
    ApiKeys: ['k-yard'],
    Unit: 'tokens',
    PlainTokens: 100,
    RatePerS: 800,
    Burst: 800,
  },
];

/** Keys of accounts whose callers exceed the quota. */
const OVERLOADED_KEYS = ['k-yard'];
const KEYS = [...SOAK_ACCOUNTS.flatMap(({ ApiKeys }) => ApiKeys), UNKNOWN_KEY];

/** Returns whether callers with a key must be served: their account is known, and they stay within its quota. */
export function isWithinQuota(key: string): boolean {
  return key !== UNKNOWN_KEY && !OVERLOADED_KEYS.includes(key);
}

/** Returns the key that a caller sends. */
export function keyOfCaller(index: number): string {
  return KEYS[index % KEYS.length] ?? UNKNOWN_KEY;
}

/** Returns the account of a key; undefined if there is none. */
export function accountOfKey(key: string): string | undefined {
  return SOAK_ACCOUNTS.find(({ ApiKeys }) => ApiKeys.includes(key))?.Name;
}
