/** Decides which team gets the next free place when not all can have one. */
import { Heap } from "./claimant_heap.ts";

// A team with a share of 0 comes after every team with a share.
const MIN_SHARE = 1e-9;

/** A team with waiting requests. */
export interface ShareClaimant {
  readonly team: string;
  readonly share: number;
  /** Places that the team holds now, over the whole fleet. */
  countRunning(): number;
  /** Monotonic time since when its longest waiting request has waited. */
  findOldestMs(): number;
  /**
   * Gives the team one place, if one can be had.
   *
   * @returns False when the team can get no further place for now.
   */
  grantOne(): boolean;
}

/** A way of dividing places. */
export interface ShareAllocator {
  /**
   * Grants places until no claimant can get another one.
   *
   * @param claimants - Teams with waiting requests.
   * @returns Number of places granted.
   */
  allocate(claimants: Iterable<ShareClaimant>): number;
}

interface Ranked {
  readonly claimant: ShareClaimant;
  readonly rank: number;
  readonly oldestMs: number;
}

/**
 * Weighted max-min fairness: each place goes to the team that has the fewest
 * places for its share, so that what one team leaves idle is lent to others.
 */
export class WeightedMaxMinAllocator implements ShareAllocator {
  allocate(claimants: Iterable<ShareClaimant>): number {
    return grantInOrder(claimants, (claimant) => {
      const share = Math.max(claimant.share, MIN_SHARE);
      return (claimant.countRunning() + 1) / share;
    });
  }
}

/** Baseline: the longest waiting request first, whatever its team holds. */
export class FifoAllocator implements ShareAllocator {
  allocate(claimants: Iterable<ShareClaimant>): number {
    return grantInOrder(claimants, (claimant) => claimant.findOldestMs());
  }
}

function grantInOrder(
  claimants: Iterable<ShareClaimant>,
  rankOf: (claimant: ShareClaimant) => number,
): number {
  const heap = new Heap<Ranked>(isBefore);
  for (const claimant of claimants) {
    heap.push(rank(claimant, rankOf));
  }
  let grantedCount = 0;
  for (let next = heap.pop(); next !== undefined; next = heap.pop()) {
    if (next.claimant.grantOne()) {
      grantedCount += 1;
      heap.push(rank(next.claimant, rankOf));
    }
  }
  return grantedCount;
}

function rank(
  claimant: ShareClaimant,
  rankOf: (claimant: ShareClaimant) => number,
): Ranked {
  return {
    claimant,
    rank: rankOf(claimant),
    oldestMs: claimant.findOldestMs(),
  };
}

function isBefore(left: Ranked, right: Ranked): boolean {
  return left.rank === right.rank
    ? left.oldestMs < right.oldestMs
    : left.rank < right.rank;
}
