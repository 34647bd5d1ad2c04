/** How many tasks of an endless step are away. */
import type { JobTable, RunningTask } from "../../domain/index.ts";
import { formatTaskId } from "../../domain/index.ts";

/** How long a task must be at work again before it counts as back (ms). */
export interface StepAvailabilityOptions {
  readonly jobs: JobTable;
  /** Finds the progress of a running task, in percent. */
  readonly findPercent: (run: RunningTask) => number;
}

/** Counts tasks that are away. */
export class StepAvailability {
  readonly #options: StepAvailabilityOptions;

  constructor(options: StepAvailabilityOptions) {
    this.#options = options;
  }

  /**
   * Tells whether ending some runs on purpose keeps every step available.
   *
   * @param runs - The runs that would end together.
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

  // A task that has not come back to full work yet counts as away.
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
