/** Decides which team gets the next free place when not all can have one. */
import { Heap } from "./heap.ts";

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
  /**
   * Finds the teams that should give up places for those that wait.
   *
   * @param holders - All teams with places.
   * @param waiting - Teams that could use a place now.
   * @returns The part of its places, from 0 to 1, that each such team should
   * give up.
   */
  findExcesses(
    holders: Iterable<ShareHolder>,
    waiting: Iterable<ShareHolder>,
  ): Map<string, number>;
}

/** A team with the places that it holds. */
export interface ShareHolder {
  readonly team: string;
  readonly share: number;
  readonly runningCount: number;
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

  // Only a place whose loss leaves its team no worse off for its share than
  // the neediest team is with it: places do not go back and forth.
  findExcesses(
    holders: Iterable<ShareHolder>,
    waiting: Iterable<ShareHolder>,
  ): Map<string, number> {
    let neediestLevel = Infinity;
    for (const { share, runningCount } of waiting) {
      const level = (runningCount + 1) / Math.max(share, MIN_SHARE);
      neediestLevel = Math.min(neediestLevel, level);
    }
    const excesses = new Map<string, number>();
    for (const { team, share, runningCount } of holders) {
      const fairCount = neediestLevel * Math.max(share, MIN_SHARE);
      if (runningCount > fairCount) {
        excesses.set(team, (runningCount - fairCount) / runningCount);
      }
    }
    return excesses;
  }
}

/** Baseline: the longest waiting request first, whatever its team holds. */
export class FifoAllocator implements ShareAllocator {
  allocate(claimants: Iterable<ShareClaimant>): number {
    return grantInOrder(claimants, (claimant) => claimant.findOldestMs());
  }

  findExcesses(): Map<string, number> {
    return new Map();
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
