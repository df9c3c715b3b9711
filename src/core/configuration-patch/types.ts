import type { DocumentProblem } from '../documents';

/** What became of a patch. */
export type PatchResult =
  | { readonly kind: 'patched'; readonly version: number; readonly document: object }
  /** The operator had an older version before them; what they saw is no longer so. */
  | { readonly kind: 'staleBase'; readonly base: number; readonly latest: number }
  | { readonly kind: 'notApplicable'; readonly reason: string }
  | { readonly kind: 'invalid'; readonly problems: readonly DocumentProblem[] };
