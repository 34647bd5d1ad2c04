/**
 * Brings the runs on one runner in line with the log; retries unanswered
 * requests.
 */
import {
  formatTaskId,
  type RunnerLoad,
  type RunningTask,
} from "../../domain/index.ts";
import type { RunName, RunReport } from "../../ports/index.ts";
import { type Notifier, type TaskGroup, waitFor } from "../../tasks/index.ts";
import { RunCommands, type RunCommandsOptions } from "./run_commands.ts";
import { formatRun } from "./run_name.ts";
import {
  IDLE_CHECK_MS,
  MAX_START_ATTEMPTS,
  REQUEST_RETRY_MS,
} from "./timing.ts";

/**
 * Refusals that show that a run did not start, if no earlier attempt was
 * unanswered.
 */
const NOT_STARTED_REFUSALS: ReadonlySet<string> = new Set([
  "noRoom",
  "leaseOver",
  "noTicket",
  "invalid",
  "unhealthy",
]);

interface TrackedRun {
  /**
   * `starting` until the runner confirms the start, then `running`; `closing`
   * until the runner confirms the stop, then `closed`. A closed run can no
   * longer start.
   */
  state: "starting" | "running" | "closing" | "closed";
  /**
   * Monotonic time at which the runner confirmed the state (ms); a poll that is
   * sent later must report the run.
   */
  confirmedAtMs: number;
}

/** Options of {@link RunReconciler}. */
export interface RunReconcilerOptions extends RunCommandsOptions {
  readonly tasks: TaskGroup;
  /** Notified when the runner's own load has changed. */
  readonly loadChanged: Notifier;
  readonly findLoad: () => RunnerLoad;
}

/** Starts the runs that the log places here and stops those no longer wanted. */
export class RunReconciler {
  readonly #options: RunReconcilerOptions;
  readonly #commands: RunCommands;
  readonly #trackedRuns = new Map<string, TrackedRun>();
  /** Runs that the runner reports and the log does not place there. */
  readonly #orphans = new Set<string>();

  constructor(options: RunReconcilerOptions) {
    this.#options = options;
    this.#commands = new RunCommands(options);
  }

  /** Whether the last poll reported runs that the log does not place here. */
  get hasOrphans(): boolean {
    return this.#orphans.size > 0;
  }

  /**
   * Whether a run is being stopped or its end has yet to be reported by a poll.
   */
  get isClosing(): boolean {
    return [...this.#trackedRuns.values()].some(({ state }) =>
      state === "closing" || state === "closed"
    );
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
   */
  evict(run: RunningTask, signal: AbortSignal): void {
    const key = formatRun({ task: run.id, ...run });
    if (this.#trackedRuns.get(key)?.state === "running") {
      this.#trackedRuns.set(key, { state: "closing", confirmedAtMs: Infinity });
      const { tasks } = this.#options;
      tasks.start("evict", () => this.#close(run, key, signal));
    }
  }

  /**
   * Records the runs that a poll reported as running, and stops orphaned ones.
   */
  recordRunning(running: readonly RunReport[]): void {
    const placed = this.#options.findLoad().running;
    const nowMs = this.#options.clock.monotonicMs();
    this.#orphans.clear();
    for (const report of running) {
      const run = placed.get(formatTaskId(report.task));
      if (run?.runNumber === report.runNumber) {
        this.#confirm(formatRun(report), "running", nowMs);
      } else {
        this.#orphans.add(formatRun(report));
        this.#stopOrphan(report);
      }
    }
  }

  /**
   * Lists the runs that a poll must report.
   *
   * @param sentAtMs - Monotonic time at which the poll was sent (ms).
   * @returns Runs that were confirmed as running or closed before that time.
   */
  listConfirmedBefore(sentAtMs: number): RunningTask[] {
    const placed = [...this.#options.findLoad().running.values()];
    return placed.filter((run) => {
      const tracked = this.#trackedRuns.get(
        formatRun({ task: run.id, ...run }),
      );
      const isSettled = tracked?.state === "running" ||
        tracked?.state === "closed";
      return isSettled && tracked.confirmedAtMs < sentAtMs;
    });
  }

  #reconcile(signal: AbortSignal): void {
    const { status, findLoad, tasks } = this.#options;
    const placed = findLoad().running;
    const wanted = new Set<string>();
    for (const run of placed.values()) {
      const key = formatRun({ task: run.id, ...run });
      wanted.add(key);
      const tracked = this.#trackedRuns.get(key);
      const isUnwanted = status.isLeaving ||
        run.job.isRunObsolete(run.id, run.runNumber);
      if (
        isUnwanted && (tracked === undefined || tracked.state === "running")
      ) {
        this.#trackedRuns.set(key, {
          state: "closing",
          confirmedAtMs: Infinity,
        });
        tasks.start("stop", () => this.#close(run, key, signal));
      } else if (tracked === undefined) {
        this.#trackedRuns.set(key, {
          state: "starting",
          confirmedAtMs: Infinity,
        });
        tasks.start("start", () => this.#start(run, key, signal));
      }
    }
    for (const key of this.#trackedRuns.keys()) {
      if (!wanted.has(key)) {
        this.#trackedRuns.delete(key);
        status.confirmedRuns.delete(key);
      }
    }
  }

  async #start(
    run: RunningTask,
    key: string,
    signal: AbortSignal,
  ): Promise<void> {
    const { clock } = this.#options;
    let unansweredCount = 0;
    while (this.#hasState(key, "starting", signal)) {
      const failure = await this.#commands.start(run);
      if (signal.aborted || this.#trackedRuns.get(key)?.state !== "starting") {
        return;
      }
      if (failure === undefined) {
        this.#confirm(key, "running", clock.monotonicMs());
        return;
      }
      if (failure.refusal === "staleFence") {
        return;
      }
      const hasNotBegun = unansweredCount === 0 &&
        NOT_STARTED_REFUSALS.has(failure.refusal ?? "");
      if (failure.refusal === "outdatedRun" || hasNotBegun) {
        this.#confirm(key, "closed", clock.monotonicMs());
        this.#options.loadChanged.notify();
        return;
      }
      unansweredCount += 1;
      if (
        run.job.outcome !== undefined || unansweredCount >= MAX_START_ATTEMPTS
      ) {
        this.#trackedRuns.set(key, {
          state: "closing",
          confirmedAtMs: Infinity,
        });
        await this.#close(run, key, signal);
        return;
      }
      await clock.sleep(REQUEST_RETRY_MS, signal);
    }
  }

  async #close(
    run: RunningTask,
    key: string,
    signal: AbortSignal,
  ): Promise<void> {
    const { clock, status } = this.#options;
    const name = { task: run.id, runNumber: run.runNumber };
    while (this.#hasState(key, "closing", signal)) {
      // The polls show when a runner responds again. Requests for each of its
      // runs meanwhile would cost the leader a connection each.
      if (status.isAnswering && await this.#commands.stop(name)) {
        this.#confirm(key, "closed", clock.monotonicMs());
        this.#options.loadChanged.notify();
        return;
      }
      await clock.sleep(REQUEST_RETRY_MS, signal);
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

  #hasState(
    key: string,
    state: TrackedRun["state"],
    signal: AbortSignal,
  ): boolean {
    return !signal.aborted && this.#trackedRuns.get(key)?.state === state;
  }

  #confirm(key: string, state: "running" | "closed", atMs: number): void {
    const known = this.#trackedRuns.get(key);
    const isDecided = known?.state === "closing" || known?.state === "closed" ||
      known?.state === state;
    if (state === "running" && isDecided) {
      return;
    }
    this.#trackedRuns.set(key, { state, confirmedAtMs: atMs });
    // The next leader may send the start of a closed run again.
    if (state === "running") {
      this.#options.status.confirmedRuns.add(key);
    }
  }
}
