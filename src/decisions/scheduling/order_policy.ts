/** Orders the waiting steps for the start planner. */
import type { ReadyStep } from "./ready_step.ts";

/** Orders waiting steps. */
export interface OrderPolicy {
  /**
   * Sorts steps into the order in which they get runners.
   *
   * @param steps - The waiting steps; the array is not changed.
   * @param nowMs - Wall-clock time (ms).
   */
  sort(steps: readonly ReadyStep[], nowMs: number): readonly ReadyStep[];
}

/** Baseline: orders steps by the time at which their job was accepted. */
export class ArrivalOrderPolicy implements OrderPolicy {
  sort(steps: readonly ReadyStep[]): readonly ReadyStep[] {
    return steps.toSorted((left, right) =>
      left.job.acceptedAtMs - right.job.acceptedAtMs
    );
  }
}

/**
 * Orders long-running steps first, then steps that can still end in time, then
 * steps that are late anyway. Within each group, the steps with the least slack
 * come first: the target end minus the critical path.
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
