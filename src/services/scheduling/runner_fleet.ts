/** Runs one task of the leader for each runner incarnation. */
import {
  IncarnationMap,
  indexQueues,
  type Runner,
  type RunnerIncarnation,
  type RunningTask,
  type TaskId,
} from "../../domain/index.ts";
import type { RunDelays } from "../../decisions/index.ts";
import type {
  Clock,
  EventLoopDelays,
  LeaderMetrics,
  Logger,
  RunnerClient,
  RunnerCondition,
} from "../../ports/index.ts";
import { type Notifier, runTogether } from "../../tasks/index.ts";
import type { RunnerStatus } from "./runner_status.ts";
import type { SchedulingLog } from "./scheduling_log.ts";
import { ServedRunner } from "./served_runner.ts";
import { FIRST_LOOK_MS, LOOK_COUNT, LOOK_TICK_MS } from "./timing.ts";

/** Options of {@link RunnerFleet}. */
export interface RunnerFleetOptions {
  readonly log: SchedulingLog;
  readonly client: RunnerClient;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: LeaderMetrics;
  readonly eventLoop: EventLoopDelays;
  /** Records how much longer than estimated runs took. */
  readonly delays: Pick<RunDelays, "record">;
  /** Notified when the scheduling state has changed. */
  readonly changed: Notifier;
  readonly fencingToken: number;
  /** Finds the ticket of a task for a runner; undefined where none is needed. */
  readonly findTicket: (task: TaskId, runner: Runner) => string | undefined;
}

/**
 * Starts and stops the runners' tasks as runners are added to and removed from
 * the log.
 *
 * What a new leader does first depends on the work and not on the number of
 * runners: the task of a runner on which the log places no run starts once it
 * places one, or when the runner's turn to be looked at comes.
 */
export class RunnerFleet {
  readonly #options: RunnerFleetOptions;
  readonly #served = new IncarnationMap<ServedRunner>();

  constructor(options: RunnerFleetOptions) {
    this.#options = options;
  }

  /**
   * Returns the status of a runner.
   *
   * @param incarnation - Id and start time of the runner.
   * @returns The status, or undefined before the runner is served.
   */
  findStatus(incarnation: RunnerIncarnation): RunnerStatus | undefined {
    return this.#served.get(incarnation)?.status;
  }

  /** Counts the runners by condition. */
  countConditions(): ReadonlyMap<RunnerCondition, number> {
    const counts = new Map<RunnerCondition, number>([
      ["sound", 0],
      ["draining", 0],
      ["silent", 0],
    ]);
    for (const { runner, status } of this.#served.values()) {
      const condition = findCondition(runner, status);
      counts.set(condition, (counts.get(condition) ?? 0) + 1);
    }
    return counts;
  }

  /**
   * Stops a run so that its task is placed elsewhere.
   *
   * @param run - The run.
   */
  evict(run: RunningTask): void {
    this.#served.get(run.life)?.evict(run);
  }

  /**
   * Removes a runner whose VM was taken away by request, once the answer to its
   * last poll is recorded.
   *
   * @param incarnation - Id and start time of the runner.
   */
  retire(incarnation: RunnerIncarnation): void {
    this.#served.get(incarnation)?.retire();
  }

  /**
   * Serves each runner in the log until the signal aborts.
   *
   * @param signal - Ends the task.
   */
  async run(signal: AbortSignal): Promise<void> {
    this.#serveFirst();
    await runTogether([
      (stop) => this.#followLog(stop),
      (stop) => this.#lookAtFree(stop),
    ], signal);
    const served = [...this.#served.values()];
    this.#served.clear();
    await Promise.all(served.map((runner) => runner.stop()));
  }

  // The runs of runners that have some must be compared before their leases end,
  // so these runners come first.
  #serveFirst(): void {
    const { jobs, runners } = this.#options.log.state;
    const isFree = (runner: Runner) => jobs.findLoad(runner).running.size === 0;
    const added = [...runners.values()].filter((runner) =>
      this.#served.get(runner) === undefined
    );
    added.filter((runner) => !isFree(runner))
      .forEach((runner) => this.#serve(runner, false).start());
    added.filter(isFree).forEach((runner) => this.#serve(runner, true));
  }

  async #followLog(signal: AbortSignal): Promise<void> {
    const { changed, log } = this.#options;
    while (!signal.aborted) {
      this.#reconcile(log.state.runners);
      for (const served of this.#served.values()) {
        served.followLoad();
      }
      await changed.wait(signal);
    }
  }

  // A runner may execute a run that the log no longer places there. Few runners
  // are polled at once, beside the work of the leader.
  async #lookAtFree(signal: AbortSignal): Promise<void> {
    const { clock } = this.#options;
    await clock.sleep(FIRST_LOOK_MS, signal);
    let left = this.#listNotStarted();
    while (left.length > 0 && !signal.aborted) {
      left.slice(0, LOOK_COUNT).forEach((served) => served.start());
      await clock.sleep(LOOK_TICK_MS, signal);
      left = this.#listNotStarted();
    }
  }

  #listNotStarted(): ServedRunner[] {
    return [...this.#served.values()].filter(({ isStarted }) => !isStarted);
  }

  #reconcile(runners: ReadonlyMap<string, Runner>): void {
    for (const runner of runners.values()) {
      const known = this.#served.get(runner);
      if (known === undefined) {
        this.#serve(runner, false).start();
      } else if (known.runner !== runner) {
        known.update(runner);
      }
    }
    for (const served of this.#served.values()) {
      const { runnerId, bornAtMs } = served.runner;
      if (runners.get(runnerId)?.bornAtMs !== bornAtMs) {
        this.#served.delete(served.runner);
        void served.stop();
      }
    }
  }

  #serve(runner: Runner, isPresumedFree: boolean): ServedRunner {
    const served = new ServedRunner({
      ...this.#options,
      runner,
      isPresumedFree,
      findMaxAttempts: (run) => this.findMaxAttempts(run),
    });
    this.#served.set(runner, served);
    return served;
  }

  /**
   * Returns how many failed runs of a task its job allows.
   *
   * @param run - A run of the job.
   */
  findMaxAttempts({ job }: RunningTask): number {
    const { byName } = indexQueues(this.#options.log.state.catalog);
    return byName.get(job.queue)?.maxAttempts ?? job.maxAttempts;
  }
}

function findCondition(
  { isDraining }: Runner,
  { isOperational }: RunnerStatus,
): RunnerCondition {
  if (!isOperational) {
    return "silent";
  }
  return isDraining ? "draining" : "sound";
}
