/** Turns the reports of one runner into ends of runs in the log. */
import {
  formatTaskId,
  type RunFault,
  type Runner,
  type RunnerLoad,
  type RunningTask,
  type SchedulingOperation,
} from "../../domain/index.ts";
import type { RunDelays, RunnerPaces } from "../../decisions/index.ts";
import type {
  Clock,
  EndReport,
  Logger,
  RunName,
  RunnerReport,
} from "../../ports/index.ts";
import { formatRun } from "./run_name.ts";

/** Most ends in one report; a report with as many may be incomplete. */
const MAX_REPORTED_ENDS = 500;

/** Options of {@link RunEndDetector}. */
export interface RunEndDetectorOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Records how much longer than estimated runs took. */
  readonly delays: Pick<RunDelays, "record">;
  /** Compares the runners by the duration of their runs; none by default. */
  readonly paces?: Pick<RunnerPaces, "record"> | undefined;
  readonly findRunner: () => Runner;
  readonly findLoad: () => RunnerLoad;
  /** Returns how many failed runs of a task its job allows. */
  readonly findMaxAttempts: (run: RunningTask) => number;
  /** Returns why the end of a run speaks against the runner, if it does. */
  readonly findFault: (run: RunningTask) => RunFault | undefined;
}

/** Detects ended and lost runs in the reports of a runner. */
export class RunEndDetector {
  readonly #options: RunEndDetectorOptions;

  constructor(options: RunEndDetectorOptions) {
    this.#options = options;
  }

  /**
   * Lists the log changes for reported ends.
   *
   * @param ended - The ends; those of runs that are not placed here are
   * skipped.
   * @returns The changes.
   */
  listReported(ended: readonly EndReport[]): SchedulingOperation[] {
    const operations: SchedulingOperation[] = [];
    for (const { task, runNumber, how, saved } of ended) {
      const run = this.#findRun({ task, runNumber });
      if (run !== undefined) {
        if (how === "done" && !run.step.isEndless) {
          this.#recordDelay(run);
        }
        operations.push(this.#createEnd(run, how, saved));
      }
    }
    return operations;
  }

  /**
   * Lists the log changes for lost runs: expected runs that a report lists
   * neither as running nor as ended.
   *
   * @param report - The report.
   * @param expected - Runs that were started there or can no longer start
   * there.
   * @returns The changes; none when the report may be incomplete.
   */
  listLost(
    report: RunnerReport,
    expected: readonly RunningTask[],
  ): SchedulingOperation[] {
    if (report.ended.length >= MAX_REPORTED_ENDS) {
      return [];
    }
    const known = new Set([...report.running, ...report.ended].map(formatRun));
    return expected.filter((run) =>
      !known.has(formatRun({ task: run.id, ...run }))
    )
      .map((run) => this.#createEnd(run, "lost", ""));
  }

  #findRun({ task, runNumber }: RunName): RunningTask | undefined {
    const run = this.#options.findLoad().running.get(formatTaskId(task));
    return run?.runNumber === runNumber ? run : undefined;
  }

  #recordDelay({ job, startedAtMs, step }: RunningTask): void {
    const { clock, delays, findRunner, paces } = this.#options;
    const nowMs = clock.nowMs();
    const delayMs = nowMs - startedAtMs - step.estimateMs;
    delays.record(job.queueKey, delayMs, nowMs);
    const ratio = (nowMs - startedAtMs) / step.estimateMs;
    paces?.record(findRunner(), job.queueKey, ratio, nowMs);
  }

  #createEnd(
    run: RunningTask,
    how: EndReport["how"],
    saved: string,
  ): SchedulingOperation {
    const fault = this.#options.findFault(run);
    this.#options.logger.info(
      {
        task: formatTaskId(run.id),
        runNumber: run.runNumber,
        runnerId: this.#options.findRunner().runnerId,
        how,
        ...(fault && { fault }),
      },
      "a run ended",
    );
    return {
      type: "end",
      task: run.id,
      runNumber: run.runNumber,
      how,
      saved,
      maxAttempts: this.#options.findMaxAttempts(run),
      ...(fault && { fault }),
    };
  }
}
