/** The client accounts of a soak, and which of them each caller belongs to. */

/** A key that no configuration ever holds. */
export const STRANGE_KEY = 'k-of-nobody';

/** As operators publish them; one asks more than it may. */
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

/** Keys of accounts that ask more than they may. */
const TIGHT_KEYS = ['k-yard'];
const KEYS = [...SOAK_ACCOUNTS.flatMap(({ ApiKeys }) => ApiKeys), STRANGE_KEY];

/** Whether callers with a key are owed answers: they are known, and ask no more than they may. */
export function isOwed(key: string): boolean {
  return key !== STRANGE_KEY && !TIGHT_KEYS.includes(key);
}

/** The key that a caller sends. */
export function keyOfCaller(index: number): string {
  return KEYS[index % KEYS.length] ?? STRANGE_KEY;
}

/** The account that holds a key; undefined where none does. */
export function accountOfKey(key: string): string | undefined {
  return SOAK_ACCOUNTS.find(({ ApiKeys }) => ApiKeys.includes(key))?.Name;
}
