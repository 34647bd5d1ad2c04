/** The runners as the leader serves them: one task for each lifetime. */
import {
  formatIncarnation,
  type Runner,
  type RunnerIncarnation,
  type RunningTask,
  type TaskId,
} from "../../domain/index.ts";
import type {
  Clock,
  Logger,
  RunnerClient,
  RunnerCondition,
} from "../../ports/index.ts";
import { Notifier, TaskGroup } from "../../tasks/index.ts";
import { RunnerStatus } from "./runner_status.ts";
import { RunnerTask } from "./runner_task.ts";
import type { SchedulingLog } from "./scheduling_log.ts";

/** Options of {@link RunnerFleet}. */
export interface RunnerFleetOptions {
  readonly log: SchedulingLog;
  readonly client: RunnerClient;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Notified when the scheduling state has changed. */
  readonly changed: Notifier;
  readonly fencingToken: number;
  /** Finds the proof that a runner may run a task, where one is needed. */
  readonly findTicket: (task: TaskId, runner: Runner) => string | undefined;
}

interface Served {
  readonly task: RunnerTask;
  readonly group: TaskGroup;
  /** Notified when the runner's own load has changed. */
  readonly changed: Notifier;
  /** Version of the load that its tasks were told of. */
  toldVersion: number;
}

/** Starts and ends the runners' tasks as the log names and drops them. */
export class RunnerFleet {
  readonly #options: RunnerFleetOptions;
  readonly #served = new Map<string, Served>();

  constructor(options: RunnerFleetOptions) {
    this.#options = options;
  }

  /**
   * Finds what has been seen of a runner.
   *
   * @param life - Id and birth.
   * @returns The status, or undefined before the runner is served.
   */
  findStatus(life: RunnerIncarnation): RunnerStatus | undefined {
    return this.#served.get(formatIncarnation(life))?.task.status;
  }

  /** Counts the runners by what is known of them. */
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
   * Stops a run so that its task goes elsewhere.
   *
   * @param run - The run.
   */
  evict(run: RunningTask): void {
    this.#served.get(formatIncarnation(run.life))?.task.evict(run);
  }

  /**
   * Serves the runners of the log until the signal aborts.
   *
   * @param signal - Ends the task.
   */
  async run(signal: AbortSignal): Promise<void> {
    const { changed, log } = this.#options;
    while (!signal.aborted) {
      this.#adopt(log.state.runners);
      this.#tellChanges();
      await changed.wait(signal);
    }
    const served = [...this.#served.values()];
    this.#served.clear();
    await Promise.all(served.map(({ group }) => group.stop()));
  }

  #adopt(runners: ReadonlyMap<string, Runner>): void {
    const lives = new Set<string>();
    for (const runner of runners.values()) {
      const life = formatIncarnation(runner);
      lives.add(life);
      const known = this.#served.get(life);
      if (known === undefined) {
        this.#served.set(life, this.#serve(runner));
      } else if (known.task.runner !== runner) {
        known.task.update(runner);
      }
    }
    for (const [life, { group }] of this.#served) {
      if (!lives.has(life)) {
        this.#served.delete(life);
        void group.stop();
      }
    }
  }

  // Most changes concern few runners: only their tasks wake up.
  #tellChanges(): void {
    const { jobs } = this.#options.log.state;
    for (const served of this.#served.values()) {
      const { version } = jobs.findLoad(served.task.runner);
      if (version !== served.toldVersion) {
        served.toldVersion = version;
        served.changed.notify();
      }
    }
  }

  #serve(runner: Runner): Served {
    const { clock, logger } = this.#options;
    const group = new TaskGroup({ clock, logger });
    const changed = new Notifier();
    const task = new RunnerTask({
      ...this.#options,
      loadChanged: changed,
      runner,
      status: new RunnerStatus(clock),
      tasks: group,
      findMaxAttempts: (run) => this.findMaxAttempts(run),
    });
    group.startForever(
      `runner ${runner.runnerId}`,
      (signal) => task.run(signal),
    );
    return { task, group, changed, toldVersion: 0 };
  }

  /**
   * Finds how many failed ends a run's job allows.
   *
   * @param run - The run.
   */
  findMaxAttempts({ job }: RunningTask): number {
    const queue = this.#options.log.state.catalog.queues.find(({ name }) =>
      name === job.queue
    );
    return queue?.maxAttempts ?? job.maxAttempts;
  }
}

function findCondition(
  { isDraining }: Runner,
  { isSound }: RunnerStatus,
): RunnerCondition {
  if (!isSound) {
    return "silent";
  }
  return isDraining ? "draining" : "sound";
}
