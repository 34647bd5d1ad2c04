/** Orders the waiting steps for the start planner. */
import type { ReadyStep } from "./ready_step.ts";
import { RunDelays } from "./run_delays.ts";

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
 * come first: the target end minus the critical path, with the delays that the
 * runs of the queue had lately. Without the delays, an overloaded leader would
 * prefer the steps that it can no longer bring to their end in time.
 */
export class SlackOrderPolicy implements OrderPolicy {
  readonly #delays: Pick<RunDelays, "find">;

  /** @param delays - Delays of recent runs by queue; none by default. */
  constructor(delays: Pick<RunDelays, "find"> = new RunDelays()) {
    this.#delays = delays;
  }

  sort(steps: readonly ReadyStep[], nowMs: number): readonly ReadyStep[] {
    const ranked = steps.map((step) => {
      const slackMs = this.#computeSlackMs(step, nowMs);
      return { step, rank: findRank(step, slackMs), slackMs };
    });
    ranked.sort((left, right) =>
      left.rank - right.rank || left.slackMs - right.slackMs
    );
    return ranked.map(({ step }) => step);
  }

  #computeSlackMs(ready: ReadyStep, nowMs: number): number {
    const { criticalPathMs, criticalStepCount, job, targetEndMs } = ready;
    const delayMs = this.#delays.find(job.queue, nowMs) *
      criticalStepCount;
    return targetEndMs - nowMs - Math.max(0, criticalPathMs + delayMs);
  }
}

const LONG_RUNNING_RANK = 0;
const IN_TIME_RANK = 1;
const LATE_RANK = 2;

function findRank({ step }: ReadyStep, slackMs: number): number {
  if (step.isEndless) {
    return LONG_RUNNING_RANK;
  }
  return slackMs >= 0 ? IN_TIME_RANK : LATE_RANK;
}
