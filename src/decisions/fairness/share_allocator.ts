/**
 * Decides which team gets the next permit when there are not enough for all.
 */
import { Heap } from "./heap.ts";

// Ranks a team with a share of 0 after all teams with a share.
const MIN_SHARE = 1e-9;

/** A team with waiting requests. */
export interface ShareClaimant {
  readonly team: string;
  readonly share: number;
  /** Counts the permits that the team holds now in the whole fleet. */
  countRunning(): number;
  /** Finds the monotonic time at which its oldest request began to wait. */
  findOldestMs(): number;
  /**
   * Grants the team one permit, if possible.
   *
   * @returns False when the team can get no further permit for now.
   */
  grantOne(): boolean;
}

/** Divides permits among teams. */
export interface ShareAllocator {
  /**
   * Grants permits until no claimant can get another one.
   *
   * @param claimants - Teams with waiting requests.
   * @returns Number of permits granted.
   */
  allocate(claimants: Iterable<ShareClaimant>): number;
  /**
   * Finds the teams that should give up permits for teams that wait.
   *
   * @param holders - All teams with permits.
   * @param waiting - Teams that could use a permit now.
   * @returns By team, the fraction of its permits that it should give up, from
   * 0 to 1.
   */
  findExcesses(
    holders: Iterable<ShareHolder>,
    waiting: Iterable<ShareHolder>,
  ): Map<string, number>;
}

/** A team with the number of its permits. */
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
 * Weighted max-min fairness: each permit goes to the team that holds the fewest
 * permits for its share. Permits that one team does not use go to others.
 */
export class WeightedMaxMinAllocator implements ShareAllocator {
  allocate(claimants: Iterable<ShareClaimant>): number {
    return grantInOrder(claimants, (claimant) => {
      const share = Math.max(claimant.share, MIN_SHARE);
      return (claimant.countRunning() + 1) / share;
    });
  }

  // After a team has given up a permit, it still holds at least as many permits
  // for its share as the neediest team does after getting one. Permits therefore
  // do not move back and forth.
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

/** Baseline: grants the oldest request first, whatever its team holds. */
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
