/**
 * Brings the runs on one runner in line with the log; retries unanswered
 * requests.
 */
import {
  formatTaskId,
  type RunFault,
  type RunnerBounds,
  type RunningTask,
} from "../../domain/index.ts";
import type { RunName, RunnerReport } from "../../ports/index.ts";
import { Notifier, type TaskGroup, waitFor } from "../../tasks/index.ts";
import { RunCommands, type RunCommandsOptions } from "./run_commands.ts";
import { formatRun } from "./run_name.ts";
import { RunStarter, type RunStarterOptions } from "./run_starter.ts";
import { StillRuns } from "./still_runs.ts";
import { TrackedRuns } from "./tracked_runs.ts";
import { IDLE_CHECK_MS, REQUEST_RETRY_MS } from "./timing.ts";

/** Options of {@link RunReconciler}. */
export interface RunReconcilerOptions
  extends
    RunCommandsOptions,
    Omit<RunStarterOptions, "commands" | "runs" | "reported" | "close"> {
  readonly tasks: TaskGroup;
  /** What the platform guarantees about runners. */
  readonly bounds: RunnerBounds;
}

/** Starts the runs that the log places here and stops those no longer wanted. */
export class RunReconciler {
  readonly #options: RunReconcilerOptions;
  readonly #commands: RunCommands;
  readonly #runs: TrackedRuns;
  readonly #still: StillRuns;
  readonly #starter: RunStarter;
  /** Runs that the runner reports and the log does not place there. */
  readonly #orphans = new Set<string>();
  /** Notified of each report of the runner. */
  readonly #reported = new Notifier();

  constructor(options: RunReconcilerOptions) {
    this.#options = options;
    this.#commands = new RunCommands(options);
    this.#runs = new TrackedRuns(options);
    this.#still = new StillRuns({ ...options, runs: this });
    this.#starter = new RunStarter({
      ...options,
      commands: this.#commands,
      runs: this.#runs,
      reported: this.#reported,
      close: (run, key, signal) => this.#close(run, key, signal),
    });
  }

  /** Whether the last poll reported runs that the log does not place here. */
  get hasOrphans(): boolean {
    return this.#orphans.size > 0;
  }

  /**
   * Whether a poll has yet to report the end of a run, or whether a start that
   * got no answer was carried out.
   */
  get awaitsReport(): boolean {
    return this.#runs.awaitsReport;
  }

  /**
   * Sends requests until the signal aborts.
   *
   * @param signal - Ends the task.
   */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, findLoad, loadChanged, status, log } = this.#options;
    while (!signal.aborted) {
      const { version } = findLoad();
      const { isSynced } = status;
      if (isSynced && log.holdsLeaderLease) {
        this.#reconcile(signal);
      }
      await waitFor({
        clock,
        notifier: loadChanged,
        timeoutMs: IDLE_CHECK_MS,
        signal,
        isMet: () =>
          findLoad().version !== version || status.isSynced !== isSynced,
      });
    }
  }

  /**
   * Stops a run so that its task is placed elsewhere.
   *
   * @param run - A run that is placed here.
   * @param signal - Ends the attempts.
   * @param fault - Why its end speaks against the runner, if it does.
   * @returns Whether the run is stopped now; false when it was before.
   */
  evict(run: RunningTask, signal: AbortSignal, fault?: RunFault): boolean {
    const key = formatRun({ task: run.id, ...run });
    if (this.#runs.findState(key) === "running") {
      if (fault !== undefined) {
        this.#runs.recordFault(key, fault);
      }
      this.#runs.begin(key, "closing");
      const { tasks } = this.#options;
      tasks.start("evict", () => this.#close(run, key, signal));
      return true;
    }
    return false;
  }

  /** Returns why the end of a run speaks against the runner, if it does. */
  findFault(run: RunningTask): RunFault | undefined {
    return this.#runs.findFault(formatRun({ task: run.id, ...run }));
  }

  /**
   * Records the runs that a poll reported as running, stops orphaned ones and
   * those that were not stopped although that was confirmed, and lets starts
   * without an answer go on that it does not list.
   *
   * @param report - The report.
   * @param sentAtMs - Monotonic time at which the poll was sent (ms).
   */
  recordReport(report: RunnerReport, sentAtMs: number): void {
    const placed = this.#options.findLoad().running;
    const nowMs = this.#options.clock.monotonicMs();
    this.#orphans.clear();
    for (const name of report.running) {
      const run = placed.get(formatTaskId(name.task));
      if (run?.runNumber === name.runNumber) {
        this.#recordRunning(name, sentAtMs, nowMs);
      } else {
        this.#orphans.add(formatRun(name));
        this.#stopOrphan(name);
      }
    }
    this.#runs.settleUnanswered(report, sentAtMs);
    this.#still.recordReport(report);
    this.#reported.notify();
  }

  /**
   * Lists the runs that a poll must report.
   *
   * @param sentAtMs - Monotonic time at which the poll was sent (ms).
   * @returns Runs that were confirmed as running or closed before that time.
   */
  listConfirmedBefore(sentAtMs: number): RunningTask[] {
    return this.#runs.listConfirmedBefore(sentAtMs);
  }

  #reconcile(signal: AbortSignal): void {
    const { findLoad, tasks } = this.#options;
    const placed = findLoad().running;
    const wanted = new Set<string>();
    for (const run of placed.values()) {
      const key = formatRun({ task: run.id, ...run });
      wanted.add(key);
      const state = this.#runs.findState(key);
      if (
        this.#isUnwanted(run) &&
        (state === undefined || state === "running")
      ) {
        this.#runs.begin(key, "closing");
        tasks.start("stop", () => this.#close(run, key, signal));
      } else if (state === undefined) {
        this.#runs.begin(key, "starting");
        tasks.start("start", () => this.#starter.start(run, signal));
      }
    }
    this.#runs.retain(wanted);
  }

  async #close(
    run: RunningTask,
    key: string,
    signal: AbortSignal,
  ): Promise<void> {
    const { clock, status } = this.#options;
    const name = { task: run.id, runNumber: run.runNumber };
    while (!signal.aborted && this.#runs.findState(key) === "closing") {
      // The polls show when a runner responds again. Requests for each of its
      // runs meanwhile would cost the leader a connection each.
      if (status.isAnswering && await this.#commands.stop(name)) {
        this.#runs.confirm(key, "closed", clock.monotonicMs());
        this.#options.loadChanged.notify();
        return;
      }
      await clock.sleep(REQUEST_RETRY_MS, signal);
    }
  }

  #isUnwanted({ id, job, runNumber }: RunningTask): boolean {
    return this.#options.status.isLeaving || job.isRunObsolete(id, runNumber);
  }

  #recordRunning(name: RunName, sentAtMs: number, nowMs: number): void {
    const { findRunner, logger } = this.#options;
    if (this.#runs.recordRunning(formatRun(name), sentAtMs, nowMs)) {
      logger.warn(
        {
          task: formatTaskId(name.task),
          runNumber: name.runNumber,
          runnerId: findRunner().runnerId,
        },
        "a run that counted as closed is still running",
      );
    }
  }

  #stopOrphan(name: RunName): void {
    const { tasks, log } = this.#options;
    if (log.holdsLeaderLease) {
      tasks.start("stop an orphaned run", async () => {
        await this.#commands.stop(name);
      });
    }
  }
}
