/** Limits how many tasks of a long-running step are unavailable at once. */
import type { JobTable, RunningTask } from "../../domain/index.ts";
import { formatTaskId } from "../../domain/index.ts";

/** Options of {@link StepAvailability}. */
export interface StepAvailabilityOptions {
  readonly jobs: JobTable;
  /** Returns how far a restarted task is back at full work, in percent. */
  readonly findPercent: (run: RunningTask) => number;
}

/**
 * Tells which runs may be stopped without exceeding the number of tasks of a
 * long-running step that may be unavailable at once (`maxAwayCount`).
 */
export class StepAvailability {
  readonly #options: StepAvailabilityOptions;

  constructor(options: StepAvailabilityOptions) {
    this.#options = options;
  }

  /**
   * Tells whether runs may be stopped on purpose.
   *
   * @param runs - The runs that would stop at the same time.
   * @returns True when no step would have more unavailable tasks than its
   * `maxAwayCount` allows.
   */
  mayStop(runs: readonly RunningTask[]): boolean {
    return runs.every((run) => {
      const { maxAwayCount, isEndless } = run.step;
      if (!isEndless || maxAwayCount === undefined) {
        return true;
      }
      const stoppingCount = runs.filter((other) =>
        isSameStep(run, other)
      ).length;
      return this.#countUnavailable(run) + stoppingCount <= maxAwayCount;
    });
  }

  // A restarted task counts as unavailable until it is back at full work.
  #countUnavailable(run: RunningTask): number {
    const { job, id } = run;
    const record = job.occurrences[id.occurrence]?.[id.step];
    let count = 0;
    record?.tasks.forEach((task, index) => {
      const other = { ...id, index };
      const running = task.life &&
        this.#options.jobs.findLoad(task.life).running.get(formatTaskId(other));
      const isAvailable = running !== undefined &&
        this.#options.findPercent(running) >= 100;
      count += Number(!isAvailable);
    });
    return count;
  }
}

function isSameStep(left: RunningTask, right: RunningTask): boolean {
  return left.job === right.job && left.id.step === right.id.step &&
    left.id.occurrence === right.id.occurrence;
}
