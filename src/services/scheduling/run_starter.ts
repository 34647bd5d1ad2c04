/** Sends the starts of the runs on one runner, or withdraws them. */
import type { StartObstacle } from "../../decisions/index.ts";
import {
  formatTaskId,
  type RunnerLoad,
  type RunningTask,
} from "../../domain/index.ts";
import type { LeaderMetrics } from "../../ports/index.ts";
import { type Notifier, waitFor } from "../../tasks/index.ts";
import { createLostEnd } from "./lost_end.ts";
import type { RunCommands, RunCommandsOptions } from "./run_commands.ts";
import { formatRun } from "./run_name.ts";
import { StartAttempts } from "./start_attempts.ts";
import { REQUEST_RETRY_MS } from "./timing.ts";
import type { TrackedRuns } from "./tracked_runs.ts";

/** Options of {@link RunStarter}. */
export interface RunStarterOptions extends
  Pick<
    RunCommandsOptions,
    "clock" | "findRunner" | "log" | "logger" | "status"
  > {
  readonly findLoad: () => RunnerLoad;
  readonly metrics: LeaderMetrics;
  /** Notified when the runner's own load has changed. */
  readonly loadChanged: Notifier;
  /** Returns how many failed runs of a task its job allows. */
  readonly findMaxAttempts: (run: RunningTask) => number;
  /** Finds why the start of a run must not be sent now; undefined if it may. */
  readonly findStartObstacle: (run: RunningTask) => StartObstacle | undefined;
  readonly commands: Pick<RunCommands, "start">;
  readonly runs: TrackedRuns;
  /** Notified of each report of the runner. */
  readonly reported: Notifier;
  /** Stops a run until the runner confirms it. */
  readonly close: (
    run: RunningTask,
    key: string,
    signal: AbortSignal,
  ) => Promise<void>;
}

/**
 * Sends starts until the runner confirms them. Each time, it asks first whether
 * the start may still be sent.
 */
export class RunStarter {
  readonly #options: RunStarterOptions;
  /** Runs whose start an earlier leader may have sent. */
  readonly #inherited: ReadonlySet<string>;

  /** @param options - The log when the leader begins to serve the runner. */
  constructor(options: RunStarterOptions) {
    this.#options = options;
    const placed = options.findLoad().running.values();
    this.#inherited = new Set([...placed].map(nameRun));
  }

  /**
   * Sends the start of a run, again until its fate is known. A start that must
   * not be sent is withdrawn; one that an answer or a report shows at work is
   * left alone.
   *
   * @param run - A run that is placed here.
   * @param signal - Ends the attempts.
   */
  async start(run: RunningTask, signal: AbortSignal): Promise<void> {
    const { clock, commands, loadChanged, metrics, runs } = this.#options;
    const key = nameRun(run);
    const attempts = new StartAttempts(this.#inherited.has(key));
    while (this.#isStarting(key, signal)) {
      const obstacle = this.#findObstacle(run);
      if (obstacle !== undefined) {
        await this.#withdraw(run, { attempts, key, obstacle }, signal);
        return;
      }
      const failure = await commands.start(run);
      if (!this.#isStarting(key, signal)) {
        return;
      }
      if (failure === undefined) {
        runs.confirm(key, "running", clock.monotonicMs());
        return;
      }
      const step = attempts.record(failure, this.#isObsolete(run));
      if (step === "end") {
        return;
      }
      if (step === "closed") {
        if (failure.refusal === "unhealthy") {
          runs.recordFault(key, "refused");
          metrics.countRunFault("refused");
        }
        runs.confirm(key, "closed", clock.monotonicMs());
        loadChanged.notify();
        return;
      }
      if (step === "retry") {
        await clock.sleep(REQUEST_RETRY_MS, signal);
        continue;
      }
      if (step === "report") {
        await this.#waitForReport(run, key, signal);
      }
      const mustStop = step === "stop" || attempts.isOver ||
        this.#isObsolete(run);
      if (mustStop && this.#isStarting(key, signal)) {
        runs.begin(key, "closing");
        await this.#options.close(run, key, signal);
      }
    }
  }

  // A run that certainly was not sent ends without a request to the runner. Any
  // other one may still start until the runner has confirmed a stop.
  async #withdraw(
    run: RunningTask,
    { attempts, key, obstacle }: {
      readonly attempts: StartAttempts;
      readonly key: string;
      readonly obstacle: StartObstacle;
    },
    signal: AbortSignal,
  ): Promise<void> {
    const { clock, close, findRunner, logger, runs } = this.#options;
    const { mayArrive } = attempts;
    logger.info(
      {
        task: formatTaskId(run.id),
        runNumber: run.runNumber,
        runnerId: findRunner().runnerId,
        obstacle,
        mayArrive,
      },
      "withdrew a start",
    );
    if (mayArrive) {
      runs.begin(key, "closing");
      await close(run, key, signal);
      return;
    }
    runs.confirm(key, "closed", clock.monotonicMs());
    await this.#recordUnsent(run);
  }

  async #recordUnsent(run: RunningTask): Promise<void> {
    const { findMaxAttempts, findRunner, log, logger } = this.#options;
    const proposed = await log.propose([
      createLostEnd(run, findMaxAttempts(run)),
    ]);
    if (proposed.isErr) {
      logger.warn(
        { runnerId: findRunner().runnerId, failure: proposed.error },
        "failed to record the end of a withdrawn start; the next poll ends it",
      );
    }
  }

  /** Waits until a report shows whether an unanswered start was carried out. */
  async #waitForReport(
    run: RunningTask,
    key: string,
    signal: AbortSignal,
  ): Promise<void> {
    const { clock, reported, runs } = this.#options;
    runs.recordUnanswered(key, clock.monotonicMs());
    const isOver = () => !runs.isUnanswered(key) || this.#isObsolete(run);
    while (!signal.aborted && !isOver()) {
      await waitFor({
        clock,
        notifier: reported,
        timeoutMs: REQUEST_RETRY_MS,
        signal,
        isMet: isOver,
      });
    }
  }

  #findObstacle(run: RunningTask): StartObstacle | undefined {
    return this.#isObsolete(run)
      ? "obsolete"
      : this.#options.findStartObstacle(run);
  }

  #isObsolete({ id, job, runNumber }: RunningTask): boolean {
    return this.#options.status.isLeaving || job.isRunObsolete(id, runNumber);
  }

  #isStarting(key: string, signal: AbortSignal): boolean {
    return !signal.aborted && this.#options.runs.findState(key) === "starting";
  }
}

function nameRun({ id: task, runNumber }: RunningTask): string {
  return formatRun({ task, runNumber });
}
