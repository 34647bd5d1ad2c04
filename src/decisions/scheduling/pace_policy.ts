/** How fast work on leftover processor time may go beside tasks that serve. */

/** What was last seen of a runner. */
export interface PaceInput {
  /** Worst tail of a serving task against its target, as a share. */
  readonly worstShare: number;
  /** Pace of the leftover work now, in percent. */
  readonly percent: number;
}

/** Chooses the pace of leftover work on one runner. */
export interface PacePolicy {
  /** Chooses the pace, in percent. */
  choose(input: PaceInput): number;
}

/** Never slows anything down; the baseline. */
export class FullPacePolicy implements PacePolicy {
  choose(): number {
    return 100;
  }
}

/** Share of the target from which on leftover work is slowed down. */
const SLOW_DOWN_SHARE = 0.85;
/** Share of the target above which leftover work stands still. */
const PAUSE_SHARE = 1;
/** Share of the target below which leftover work may go faster. */
const SPEED_UP_SHARE = 0.6;
const STEP_UP_PERCENT = 10;
const SLOW_DOWN_FACTOR = 0.5;

/** Stands still over the target, halves near it, and recovers in small steps. */
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
