/** In which order waiting steps get runners. */
import type { ReadyStep } from "./ready_step.ts";

/** Orders waiting steps. */
export interface OrderPolicy {
  /**
   * Sorts steps, those that get runners first in front.
   *
   * @param steps - The steps; the array is not changed.
   * @param nowMs - Wall-clock time (ms).
   */
  sort(steps: readonly ReadyStep[], nowMs: number): readonly ReadyStep[];
}

/** First come, first served; the baseline. */
export class ArrivalOrderPolicy implements OrderPolicy {
  sort(steps: readonly ReadyStep[]): readonly ReadyStep[] {
    return steps.toSorted((left, right) =>
      left.job.acceptedAtMs - right.job.acceptedAtMs
    );
  }
}

/**
 * Endless tasks come back first, then work that can still be in time by the
 * time it has left, then work that is late anyway.
 */
export class SlackOrderPolicy implements OrderPolicy {
  sort(steps: readonly ReadyStep[], nowMs: number): readonly ReadyStep[] {
    const ranked = steps.map((step) => ({
      step,
      rank: findRank(step, nowMs),
      slackMs: step.targetEndMs - step.criticalPathMs,
    }));
    ranked.sort((left, right) =>
      left.rank - right.rank || left.slackMs - right.slackMs
    );
    return ranked.map(({ step }) => step);
  }
}

const LONG_RUNNING_RANK = 0;
const IN_TIME_RANK = 1;
const LATE_RANK = 2;

function findRank(ready: ReadyStep, nowMs: number): number {
  if (ready.step.isEndless) {
    return LONG_RUNNING_RANK;
  }
  return nowMs + ready.criticalPathMs <= ready.targetEndMs
    ? IN_TIME_RANK
    : LATE_RANK;
}
