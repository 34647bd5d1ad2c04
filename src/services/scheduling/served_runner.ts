/** One runner incarnation that the leader serves, with or without a task. */
import type { Runner, RunningTask } from "../../domain/index.ts";
import { Notifier, TaskGroup } from "../../tasks/index.ts";
import { RunnerStatus } from "./runner_status.ts";
import { RunnerTask, type RunnerTaskOptions } from "./runner_task.ts";

/** Options of {@link ServedRunner}. */
export interface ServedRunnerOptions
  extends Omit<RunnerTaskOptions, "loadChanged" | "status" | "tasks"> {
  /** Whether the log placed no run on the runner when the term began. */
  readonly isPresumedFree: boolean;
}

interface CreatedTask {
  readonly task: RunnerTask;
  readonly group: TaskGroup;
  /** Notified when the runner's own load has changed. */
  readonly changed: Notifier;
}

/**
 * Holds the status of a runner, and creates its task once it is needed: a task
 * costs far more than a status.
 */
export class ServedRunner {
  readonly status: RunnerStatus;
  readonly #options: ServedRunnerOptions;
  #runner: Runner;
  #created: CreatedTask | undefined;
  #isStarted = false;
  /** Version of the load that the task was last notified of. */
  #notifiedVersion = 0;

  constructor(options: ServedRunnerOptions) {
    this.#options = options;
    this.#runner = options.runner;
    this.status = new RunnerStatus(options.clock, options.isPresumedFree);
  }

  /** The runner as it last announced itself. */
  get runner(): Runner {
    return this.#runner;
  }

  /** Whether its task was started, which polls it at once. */
  get isStarted(): boolean {
    return this.#isStarted;
  }

  /** Starts its task unless it was started before. */
  start(): void {
    if (this.#isStarted) {
      return;
    }
    this.#isStarted = true;
    const { group, task } = this.#findCreated();
    group.startForever(
      `runner ${this.#runner.runnerId}`,
      (signal) => task.run(signal),
    );
  }

  /** Sets the runner as it has announced itself again. */
  update(runner: Runner): void {
    this.#runner = runner;
    this.#created?.task.update(runner);
  }

  /**
   * Notifies its task when the log has changed the load; the first run starts
   * the task.
   */
  followLoad(): void {
    const { jobs } = this.#options.log.state;
    const { running, version } = jobs.findLoad(this.#runner);
    if (version === this.#notifiedVersion) {
      return;
    }
    this.#notifiedVersion = version;
    if (running.size > 0) {
      this.start();
    }
    this.#created?.changed.notify();
  }

  /** Stops a run so that its task is placed elsewhere. */
  evict(run: RunningTask): void {
    this.#created?.task.evict(run);
  }

  /**
   * Removes the runner, whose VM was taken away by request, once the answer to
   * its last poll is recorded.
   */
  retire(): void {
    this.#findCreated().task.retire();
    this.start();
  }

  /**
   * Stops its task. The connections stay open for the next leader or the next
   * incarnation, unless the address is no longer in use.
   *
   * @returns A promise that resolves when the task has ended.
   */
  async stop(): Promise<void> {
    await this.#created?.group.stop();
    const { client, log } = this.#options;
    const { address, runnerId } = this.#runner;
    if (log.state.runners.get(runnerId)?.address !== address) {
      client.disconnect(this.#runner);
    }
  }

  #findCreated(): CreatedTask {
    this.#created ??= this.#create();
    return this.#created;
  }

  #create(): CreatedTask {
    const { clock, logger } = this.#options;
    const group = new TaskGroup({ clock, logger });
    const changed = new Notifier();
    const task = new RunnerTask({
      ...this.#options,
      loadChanged: changed,
      runner: this.#runner,
      status: this.status,
      tasks: group,
    });
    return { task, group, changed };
  }
}
