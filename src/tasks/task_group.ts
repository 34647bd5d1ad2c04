/** Groups of tasks that stop on one abort signal and are awaited together. */
import { setMaxListeners } from "node:events";
import type { Clock, Logger } from "../ports/index.ts";

/** An asynchronous function that returns soon after the signal aborts. */
export type Task = (signal: AbortSignal) => Promise<void>;

const RESTART_DELAY_MS = 500;

/** Options of {@link TaskGroup}. */
export interface TaskGroupOptions {
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Starts tasks and stops all of them together. */
export class TaskGroup {
  readonly #controller = new AbortController();
  readonly #running = new Set<Promise<void>>();
  readonly #clock: Clock;
  readonly #logger: Logger;

  constructor(options: TaskGroupOptions) {
    // Every waiting task listens to this signal, so the listener limit is lifted.
    setMaxListeners(0, this.#controller.signal);
    this.#clock = options.clock;
    this.#logger = options.logger;
  }

  /** Signal that aborts when the group is stopped. */
  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  /** Number of tasks that have not ended. */
  get size(): number {
    return this.#running.size;
  }

  /**
   * Starts a task that runs once.
   *
   * @param name - Name of the task in the log.
   * @param task - The task; an error ends it and is logged.
   */
  start(name: string, task: Task): void {
    const running = this.#run(name, task).finally(() =>
      this.#running.delete(running)
    );
    this.#running.add(running);
  }

  /**
   * Starts a task that is restarted whenever it ends, until the group stops.
   *
   * @param name - Name of the task in the log.
   * @param task - The task; an error is logged before the restart.
   */
  startForever(name: string, task: Task): void {
    this.start(name, async (signal) => {
      while (!signal.aborted) {
        await this.#run(name, task);
        await this.#clock.sleep(RESTART_DELAY_MS, signal);
      }
    });
  }

  /**
   * Stops the group.
   *
   * @returns A promise that resolves when every task has ended.
   */
  async stop(): Promise<void> {
    this.#controller.abort();
    while (this.#running.size > 0) {
      await Promise.allSettled([...this.#running]);
    }
  }

  async #run(name: string, task: Task): Promise<void> {
    try {
      await task(this.signal);
    } catch (error) {
      if (!this.signal.aborted) {
        this.#logger.error(
          { task: name, err: error },
          "task ended with an error",
        );
      }
    }
  }
}
