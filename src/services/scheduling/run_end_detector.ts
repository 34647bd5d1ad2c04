/** Ends of runs on one runner, as changes of the log. */
import {
  formatTaskId,
  type Runner,
  type RunnerLoad,
  type RunningTask,
  type SchedulingOperation,
} from "../../domain/index.ts";
import type {
  EndReport,
  Logger,
  RunName,
  RunnerReport,
} from "../../ports/index.ts";
import { formatRun } from "./run_name.ts";

/** Rows of ends in one report after which there may be more. */
const MAX_REPORTED_ENDS = 500;

/** Options of {@link RunEndDetector}. */
export interface RunEndDetectorOptions {
  readonly logger: Logger;
  readonly findRunner: () => Runner;
  readonly findLoad: () => RunnerLoad;
  /** Finds how many failed ends a run's job allows. */
  readonly findMaxAttempts: (run: RunningTask) => number;
}

/** Reads ends out of the reports of a runner. */
export class RunEndDetector {
  readonly #options: RunEndDetectorOptions;

  constructor(options: RunEndDetectorOptions) {
    this.#options = options;
  }

  /**
   * Turns reported ends into changes of the log.
   *
   * @param ended - The ends; those of runs that are not placed here are left out.
   */
  listReported(ended: readonly EndReport[]): SchedulingOperation[] {
    const operations: SchedulingOperation[] = [];
    for (const { task, runNumber, how, saved } of ended) {
      const run = this.#findRun({ task, runNumber });
      if (run !== undefined) {
        operations.push(this.#createEnd(run, how, saved));
      }
    }
    return operations;
  }

  /**
   * Finds runs that are over without a trace: they were there or can no longer
   * begin, and a report has them in neither list.
   *
   * @param report - The report.
   * @param expected - Runs that it must know.
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

  #createEnd(
    run: RunningTask,
    how: EndReport["how"],
    saved: string,
  ): SchedulingOperation {
    this.#options.logger.info(
      {
        task: formatTaskId(run.id),
        runNumber: run.runNumber,
        runnerId: this.#options.findRunner().runnerId,
        how,
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
    };
  }
}
