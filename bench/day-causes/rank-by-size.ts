import type { JudgedRequest } from './judge-request';

/** Sorts the requests of a kind by the size of their prompts, since the largest may fare worse than the kind as a whole. */

export type SizeRank = 'largest tenth' | 'fifth below' | 'others';

export interface RankedRequest extends JudgedRequest {
  readonly rank: SizeRank;
}

export interface RankedKind {
  readonly kind: string;
  readonly ranked: readonly RankedRequest[];
}

/** Parts of a kind that the largest tenth, and that tenth with the fifth below it, make up. */
const LARGEST_PART = 0.1;
const LARGE_PART = 0.3;

function rankAt(index: number, count: number): SizeRank {
  if (index < count * LARGEST_PART) return 'largest tenth';
  return index < count * LARGE_PART ? 'fifth below' : 'others';
}

/** Kinds in the order of their names; requests whose prompt or kind no line names are left out. */
export function rankBySize(requests: readonly JudgedRequest[]): readonly RankedKind[] {
  const sized = requests.filter(({ promptTokens }) => promptTokens !== undefined);
  const kinds = [...new Set(sized.map(({ kind }) => kind))].filter((kind) => kind !== undefined);
  return kinds.sort().map((kind) => {
    const ofKind = sized
      .filter((request) => request.kind === kind)
      .sort((left, right) => (right.promptTokens ?? 0) - (left.promptTokens ?? 0));
    const ranked = ofKind.map((request, index) => ({
      ...request,
      rank: rankAt(index, ofKind.length),
    }));
    return { kind, ranked };
  });
}
