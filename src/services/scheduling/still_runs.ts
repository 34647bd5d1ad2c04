/** Stops runs that stand still on a runner that answers. */
import {
  formatTaskId,
  type Runner,
  type RunnerLoad,
  type RunningTask,
} from "../../domain/index.ts";
import type { LeaderMetrics, Logger, RunnerReport } from "../../ports/index.ts";
import type { TaskGroup } from "../../tasks/index.ts";
import type { RunReconciler } from "./run_reconciler.ts";
import { POLL_WAIT_MS, STILL_MS } from "./timing.ts";

/** Progress from which a run counts as about to end, in percent. */
const ENDING_PERCENT = 99;
/**
 * Number of runners on which a task may stand still. Work that stands still on
 * several is not helped by one more.
 */
const MAX_STILL_RUNNER_COUNT = 2;

interface RunProgress {
  readonly runNumber: number;
  readonly percent: number;
  /** Runner's clock in the newest report (ms). */
  readonly clockMs: number;
  /** Time for which the percentage has not changed, on that clock (ms). */
  readonly stillMs: number;
}

interface StillRun {
  readonly run: RunningTask;
  readonly percent: number;
  /** Time for which the percentage has not changed, on the runner's clock (ms). */
  readonly stillMs: number;
  /** Time for which it may stand still (ms). */
  readonly limitMs: number;
}

/** Options of {@link StillRuns}. */
export interface StillRunsOptions {
  readonly logger: Logger;
  readonly metrics: LeaderMetrics;
  readonly tasks: TaskGroup;
  readonly runs: Pick<RunReconciler, "evict">;
  readonly findRunner: () => Runner;
  readonly findLoad: () => RunnerLoad;
}

/**
 * Compares the reports of one runner. The progress is only kept in memory: a new
 * leader sees within the same time again that a run stands still.
 */
export class StillRuns {
  readonly #options: StillRunsOptions;
  #known = new Map<string, RunProgress>();

  constructor(options: StillRunsOptions) {
    this.#options = options;
  }

  /**
   * Records a report, and stops the runs that have stood still for too long, so
   * that their tasks are placed elsewhere. Gangs, long-running and best-effort
   * tasks, and steps that limit how many tasks are away, are left alone.
   *
   * @param report - The report.
   */
  recordReport(report: RunnerReport): void {
    const { findRunner, logger, metrics, runs, tasks } = this.#options;
    for (const { run, percent, stillMs, limitMs } of this.#compare(report)) {
      if (runs.evict(run, tasks.signal, "still")) {
        metrics.countRunFault("still");
        logger.warn(
          {
            task: formatTaskId(run.id),
            runNumber: run.runNumber,
            runnerId: findRunner().runnerId,
            percent,
            stillMs: Math.round(stillMs),
            limitMs,
            estimateMs: run.step.estimateMs,
          },
          "stopping a run that stands still",
        );
      }
    }
  }

  #compare({ clockMs, running }: RunnerReport): StillRun[] {
    const placed = this.#options.findLoad().running;
    const known = this.#known;
    this.#known = new Map();
    const found: StillRun[] = [];
    for (const { percent, runNumber, task } of running) {
      const key = formatTaskId(task);
      const run = placed.get(key);
      if (run?.runNumber !== runNumber || !mayStop(run)) {
        continue;
      }
      const before = known.get(key);
      const isSame = before?.runNumber === runNumber &&
        before.percent === percent;
      // A runner that was suspended has not worked between two reports.
      const passedMs = isSame
        ? Math.min(Math.max(0, clockMs - before.clockMs), POLL_WAIT_MS)
        : 0;
      const stillMs = isSame ? before.stillMs + passedMs : 0;
      this.#known.set(key, { runNumber, percent, clockMs, stillMs });
      const limitMs = Math.max(STILL_MS, run.step.estimateMs);
      if (stillMs >= limitMs && percent < ENDING_PERCENT) {
        found.push({ run, percent, stillMs, limitMs });
      }
    }
    return found;
  }
}

function mayStop({ id, job, step }: RunningTask): boolean {
  const { failedOn = [] } = job.findTask(id) ?? {};
  return !step.isGang && !step.isEndless && !step.usesLeftovers &&
    step.maxAwayCount === undefined && failedOn.length < MAX_STILL_RUNNER_COUNT;
}
