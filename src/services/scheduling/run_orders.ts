/** Orders about the runs of one runner, each repeated until it is answered. */
import {
  formatTaskId,
  type RunnerLoad,
  type RunningTask,
} from "../../domain/index.ts";
import type { RunName, RunReport } from "../../ports/index.ts";
import { type Notifier, type TaskGroup, waitFor } from "../../tasks/index.ts";
import { RunCommands, type RunCommandsOptions } from "./run_commands.ts";
import { formatRun } from "./run_name.ts";
import { IDLE_LOOK_MS, MAX_START_ATTEMPTS, ORDER_RETRY_MS } from "./timing.ts";

/** Refusals after which a start without earlier attempts never began. */
const NOT_BEGUN: ReadonlySet<string> = new Set([
  "noRoom",
  "leaseOver",
  "noTicket",
  "invalid",
  "unhealthy",
]);

interface RunOrder {
  state: "starting" | "there" | "closing" | "closed";
  /** Monotonic time from which on a look must know the run (ms). */
  settledAtMs: number;
}

/** Options of {@link RunOrders}. */
export interface RunOrdersOptions extends RunCommandsOptions {
  readonly tasks: TaskGroup;
  /** Notified when the runner's own load has changed. */
  readonly loadChanged: Notifier;
  readonly findLoad: () => RunnerLoad;
}

/** Starts what the log places here, and stops what is no longer wanted. */
export class RunOrders {
  readonly #options: RunOrdersOptions;
  readonly #commands: RunCommands;
  readonly #orders = new Map<string, RunOrder>();
  /** Runs that the runner lists and the log does not place there. */
  readonly #strays = new Set<string>();

  constructor(options: RunOrdersOptions) {
    this.#options = options;
    this.#commands = new RunCommands(options);
  }

  /** Whether runs are being stopped that the log does not know. */
  get hasStrays(): boolean {
    return this.#strays.size > 0;
  }

  /** Whether a stop waits to be confirmed by a look. */
  get isClosing(): boolean {
    return [...this.#orders.values()].some(({ state }) =>
      state === "closing" || state === "closed"
    );
  }

  /**
   * Gives orders until the signal aborts.
   *
   * @param signal - Ends the task.
   */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, findLoad, loadChanged, status, log } = this.#options;
    while (!signal.aborted) {
      const { version } = findLoad();
      if (status.isSynced && log.mayOrder) {
        this.#orderAll(signal);
      }
      await waitFor({
        clock,
        notifier: loadChanged,
        timeoutMs: IDLE_LOOK_MS,
        signal,
        isMet: () => findLoad().version !== version,
      });
    }
  }

  /**
   * Stops a run so that its task goes elsewhere.
   *
   * @param run - A run that is placed here.
   * @param signal - Ends the attempts.
   */
  evict(run: RunningTask, signal: AbortSignal): void {
    const key = formatRun({ task: run.id, ...run });
    if (this.#orders.get(key)?.state === "there") {
      this.#orders.set(key, { state: "closing", settledAtMs: Infinity });
      const { tasks } = this.#options;
      tasks.start("evict", () => this.#close(run, key, signal));
    }
  }

  /** Takes which runs a look found at work. */
  takeRunning(running: readonly RunReport[]): void {
    const placed = this.#options.findLoad().running;
    const nowMs = this.#options.clock.monotonicMs();
    this.#strays.clear();
    for (const report of running) {
      const run = placed.get(formatTaskId(report.task));
      if (run?.runNumber === report.runNumber) {
        this.#settle(formatRun(report), "there", nowMs);
      } else {
        this.#strays.add(formatRun(report));
        this.#stopStray(report);
      }
    }
  }

  /**
   * Lists the runs that a look must know.
   *
   * @param sentAtMs - Monotonic time at which the look was sent (ms).
   */
  listSettledBefore(sentAtMs: number): RunningTask[] {
    const placed = [...this.#options.findLoad().running.values()];
    return placed.filter((run) => {
      const order = this.#orders.get(formatRun({ task: run.id, ...run }));
      const isSettled = order?.state === "there" || order?.state === "closed";
      return isSettled && order.settledAtMs < sentAtMs;
    });
  }

  #orderAll(signal: AbortSignal): void {
    const { status, findLoad, tasks } = this.#options;
    const placed = findLoad().running;
    const wanted = new Set<string>();
    for (const run of placed.values()) {
      const key = formatRun({ task: run.id, ...run });
      wanted.add(key);
      const order = this.#orders.get(key);
      const isUnwanted = status.isLeaving ||
        run.job.isRunObsolete(run.id, run.runNumber);
      if (isUnwanted && (order === undefined || order.state === "there")) {
        this.#orders.set(key, { state: "closing", settledAtMs: Infinity });
        tasks.start("stop", () => this.#close(run, key, signal));
      } else if (order === undefined) {
        this.#orders.set(key, { state: "starting", settledAtMs: Infinity });
        tasks.start("start", () => this.#start(run, key, signal));
      }
    }
    for (const key of this.#orders.keys()) {
      if (!wanted.has(key)) {
        this.#orders.delete(key);
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
    while (this.#isOpen(key, "starting", signal)) {
      const failure = await this.#commands.start(run);
      if (signal.aborted || this.#orders.get(key)?.state !== "starting") {
        return;
      }
      if (failure === undefined) {
        this.#settle(key, "there", clock.monotonicMs());
        return;
      }
      if (failure.refusal === "staleFence") {
        return;
      }
      const hasNotBegun = unansweredCount === 0 &&
        NOT_BEGUN.has(failure.refusal ?? "");
      if (failure.refusal === "outdatedRun" || hasNotBegun) {
        this.#settle(key, "closed", clock.monotonicMs());
        this.#options.loadChanged.notify();
        return;
      }
      unansweredCount += 1;
      if (
        run.job.outcome !== undefined || unansweredCount >= MAX_START_ATTEMPTS
      ) {
        this.#orders.set(key, { state: "closing", settledAtMs: Infinity });
        await this.#close(run, key, signal);
        return;
      }
      await clock.sleep(ORDER_RETRY_MS, signal);
    }
  }

  async #close(
    run: RunningTask,
    key: string,
    signal: AbortSignal,
  ): Promise<void> {
    const { clock } = this.#options;
    const name = { task: run.id, runNumber: run.runNumber };
    while (this.#isOpen(key, "closing", signal)) {
      if (await this.#commands.stop(name)) {
        this.#settle(key, "closed", clock.monotonicMs());
        this.#options.loadChanged.notify();
        return;
      }
      await clock.sleep(ORDER_RETRY_MS, signal);
    }
  }

  #stopStray(name: RunName): void {
    const { tasks, log } = this.#options;
    if (log.mayOrder) {
      tasks.start("stop a stray run", async () => {
        await this.#commands.stop(name);
      });
    }
  }

  #isOpen(key: string, state: RunOrder["state"], signal: AbortSignal): boolean {
    return !signal.aborted && this.#orders.get(key)?.state === state;
  }

  #settle(key: string, state: "there" | "closed", atMs: number): void {
    const known = this.#orders.get(key);
    const isDecided = known?.state === "closing" || known?.state === "closed" ||
      known?.state === state;
    if (state === "there" && isDecided) {
      return;
    }
    this.#orders.set(key, { state, settledAtMs: atMs });
  }
}
