/** Limits best-effort work beside tasks that have a target for tail latency. */

/** Input of {@link PacePolicy}: the latest report of a runner. */
export interface PaceInput {
  /** Highest tail latency on the runner as a share of its task's target. */
  readonly worstShare: number;
  /** Present pace of the best-effort work, in percent of full speed. */
  readonly percent: number;
}

/** Chooses the pace of best-effort work on one runner. */
export interface PacePolicy {
  /**
   * Chooses the next pace.
   *
   * @param input - The latest report of the runner.
   * @returns Percent of full speed; 0 pauses the work.
   */
  choose(input: PaceInput): number;
}

/** Baseline: always lets best-effort work run at full speed. */
export class FullPacePolicy implements PacePolicy {
  choose(): number {
    return 100;
  }
}

/**
 * Share of the latency target at or above which best-effort work slows down.
 */
const SLOW_DOWN_SHARE = 0.85;
/** Share of the latency target at or above which best-effort work pauses. */
const PAUSE_SHARE = 1;
/** Share of the latency target below which best-effort work speeds up. */
const SPEED_UP_SHARE = 0.6;
const STEP_UP_PERCENT = 10;
const SLOW_DOWN_FACTOR = 0.5;

/**
 * Pauses best-effort work when the latency target is missed, halves its pace
 * near the target, and speeds it up again in small steps.
 */
export class BackOffPacePolicy implements PacePolicy {
  choose({ worstShare, percent }: PaceInput): number {
    if (worstShare >= PAUSE_SHARE) {
      return 0;
    }
    if (worstShare >= SLOW_DOWN_SHARE) {
      return Math.floor(percent * SLOW_DOWN_FACTOR);
    }
    return worstShare < SPEED_UP_SHARE
      ? Math.min(100, percent + STEP_UP_PERCENT)
      : percent;
  }
}
