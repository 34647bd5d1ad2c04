/** Runs one task of the leader for each runner incarnation. */
import {
  findQueueOfJob,
  IncarnationMap,
  type Runner,
  type RunnerBounds,
  type RunnerIncarnation,
  type RunningTask,
  type TaskId,
} from "../../domain/index.ts";
import type {
  RunDelays,
  RunnerPaces,
  StartConditions,
} from "../../decisions/index.ts";
import type {
  Clock,
  EventLoopDelays,
  LeaderMetrics,
  Logger,
  RunnerClient,
  RunnerCondition,
} from "../../ports/index.ts";
import { Notifier, TaskGroup } from "../../tasks/index.ts";
import { ForeignLeases } from "./foreign_leases.ts";
import { RunnerStatus } from "./runner_status.ts";
import { RunnerTask } from "./runner_task.ts";
import type { SchedulingLog } from "./scheduling_log.ts";

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
  /** Compares the runners by the duration of their runs; none by default. */
  readonly paces?: Pick<RunnerPaces, "record"> | undefined;
  /** Notified when the scheduling state has changed. */
  readonly changed: Notifier;
  readonly fencingToken: number;
  /** Finds the ticket of a task for a runner; undefined where none is needed. */
  readonly findTicket: (task: TaskId, runner: Runner) => string | undefined;
  /** What the platform guarantees about runners. */
  readonly bounds: RunnerBounds;
  /** What must hold when a start is sent. */
  readonly conditions: Pick<StartConditions, "findObstacle">;
}

interface ServedRunner {
  readonly task: RunnerTask;
  readonly group: TaskGroup;
  /** Notified when the runner's own load has changed. */
  readonly changed: Notifier;
  /** Version of the load that its tasks were last notified of. */
  notifiedVersion: number;
}

/**
 * Starts and stops the runners' tasks as runners are added to and removed from
 * the log.
 */
export class RunnerFleet {
  readonly #options: RunnerFleetOptions;
  readonly #served = new IncarnationMap<ServedRunner>();
  readonly #foreignLeases: ForeignLeases;

  constructor(options: RunnerFleetOptions) {
    this.#options = options;
    this.#foreignLeases = new ForeignLeases(options);
  }

  /**
   * Returns the status of a runner.
   *
   * @param incarnation - Id and start time of the runner.
   * @returns The status, or undefined before the runner is served.
   */
  findStatus(incarnation: RunnerIncarnation): RunnerStatus | undefined {
    return this.#served.get(incarnation)?.task.status;
  }

  /** Counts the runners by condition. */
  countConditions(): ReadonlyMap<RunnerCondition, number> {
    const counts = new Map<RunnerCondition, number>([
      ["sound", 0],
      ["draining", 0],
      ["silent", 0],
    ]);
    for (const { task: { runner, status } } of this.#served.values()) {
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
    this.#served.get(run.life)?.task.evict(run);
  }

  /**
   * Removes a runner whose VM was taken away by request, once the answer to its
   * last poll is recorded.
   *
   * @param incarnation - Id and start time of the runner.
   */
  retire(incarnation: RunnerIncarnation): void {
    this.#served.get(incarnation)?.task.retire();
  }

  /**
   * Runs a task for each runner in the log until the signal aborts.
   *
   * @param signal - Ends the task.
   */
  async run(signal: AbortSignal): Promise<void> {
    const { changed, log } = this.#options;
    while (!signal.aborted) {
      this.#reconcile(log.state.runners);
      this.#notifyChanges();
      await changed.wait(signal);
    }
    const served = [...this.#served.values()];
    this.#served.clear();
    await Promise.all(served.map((runner) => this.#stop(runner)));
  }

  #reconcile(runners: ReadonlyMap<string, Runner>): void {
    for (const served of this.#served.values()) {
      const { runner, status } = served.task;
      if (runners.get(runner.runnerId)?.bornAtMs !== runner.bornAtMs) {
        this.#served.delete(runner);
        this.#foreignLeases.record(runner, status.leaseSentAtMs);
        void this.#stop(served);
      }
    }
    for (const runner of runners.values()) {
      const known = this.#served.get(runner);
      if (known === undefined) {
        this.#served.set(runner, this.#serve(runner));
      } else if (known.task.runner !== runner) {
        known.task.update(runner);
      }
    }
  }

  // The connections stay open for the next leader or the next incarnation, unless
  // the address is no longer in use.
  async #stop({ task, group }: ServedRunner): Promise<void> {
    await group.stop();
    const { client, log } = this.#options;
    const { address, runnerId } = task.runner;
    if (log.state.runners.get(runnerId)?.address !== address) {
      client.disconnect(task.runner);
    }
  }

  // Most changes concern few runners, so only their tasks are notified.
  #notifyChanges(): void {
    const { jobs } = this.#options.log.state;
    for (const served of this.#served.values()) {
      const { version } = jobs.findLoad(served.task.runner);
      if (version !== served.notifiedVersion) {
        served.notifiedVersion = version;
        served.changed.notify();
      }
    }
  }

  #serve(runner: Runner): ServedRunner {
    const { bounds, clock, conditions, log, logger } = this.#options;
    const group = new TaskGroup({ clock, logger });
    const changed = new Notifier();
    const task = new RunnerTask({
      ...this.#options,
      loadChanged: changed,
      runner,
      status: new RunnerStatus(clock, bounds),
      tasks: group,
      foreignLeaseEndMs: this.#findForeignLeaseEndMs(runner),
      findMaxAttempts: (run) => this.findMaxAttempts(run),
      findStartObstacle: (run) => conditions.findObstacle(log.state, run),
    });
    group.startForever(
      `runner ${runner.runnerId}`,
      (signal) => task.run(signal),
    );
    return { task, group, changed, notifiedVersion: 0 };
  }

  #findForeignLeaseEndMs(runner: Runner): number {
    const { clock, logger } = this.#options;
    const endMs = this.#foreignLeases.findEndMs(runner);
    const leaseLeftMs = Math.round(endMs - clock.steadyMs());
    if (leaseLeftMs > 0) {
      const { bornAtMs, runnerId } = runner;
      logger.info(
        { runnerId, bornAtMs, leaseLeftMs },
        "requests to an earlier incarnation may have prolonged the leases of a runner",
      );
    }
    return endMs;
  }

  /**
   * Returns how many failed runs of a task its job allows.
   *
   * @param run - A run of the job.
   */
  findMaxAttempts({ job }: RunningTask): number {
    const { catalog } = this.#options.log.state;
    return findQueueOfJob(catalog, job)?.maxAttempts ?? job.maxAttempts;
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
