import type { MemberState } from './types';

/** The later of two statements about one instance; merging in any order gives the same result. */
export function laterState(left: MemberState, right: MemberState): MemberState {
  if (left.incarnation !== right.incarnation) {
    return left.incarnation > right.incarnation ? left : right;
  }
  return right.sequence > left.sequence ? right : left;
}
