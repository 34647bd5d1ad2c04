/** Starts and stops the tasks of the leader, once for each term it leads. */
import type { Agreement, Clock, Logger } from "../../ports/index.ts";
import { type Notifier, TaskGroup } from "../../tasks/index.ts";
import { LEADERSHIP_CHECK_MS, LOG_BATCH_MS } from "./timing.ts";

/**
 * Starts the tasks of a leader; called once for each term.
 *
 * @param term - The term that this entry leads.
 * @param tasks - The group that ends the tasks with the term.
 */
export type StartLeading = (term: number, tasks: TaskGroup) => void;

/** Options of {@link LeadershipTask}. */
export interface LeadershipTaskOptions {
  readonly agreement: Agreement;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly startLeading: StartLeading;
  /** Called when the term is over, before its tasks are stopped. */
  readonly stopLeading: () => void;
}

/** Watches whether this entry leads. */
export class LeadershipTask {
  readonly #options: LeadershipTaskOptions;

  constructor(options: LeadershipTaskOptions) {
    this.#options = options;
  }

  /**
   * Starts and stops the leader's tasks until the signal aborts.
   *
   * @param signal - Ends the task.
   */
  async run(signal: AbortSignal): Promise<void> {
    const { agreement, clock } = this.#options;
    while (!signal.aborted) {
      const { leaderSinceMs, term } = agreement.status();
      if (leaderSinceMs === undefined) {
        await clock.sleep(LEADERSHIP_CHECK_MS, signal);
        continue;
      }
      await this.#lead(term, signal);
    }
  }

  async #lead(term: number, signal: AbortSignal): Promise<void> {
    const { agreement, clock, logger, startLeading, stopLeading } =
      this.#options;
    const tasks = new TaskGroup({ clock, logger });
    logger.info({ term }, "schedules from now on");
    startLeading(term, tasks);
    while (!signal.aborted) {
      const status = agreement.status();
      if (status.term !== term || status.leaderId !== status.entryId) {
        break;
      }
      await clock.sleep(LEADERSHIP_CHECK_MS, signal);
    }
    logger.info({ term }, "stopped scheduling");
    stopLeading();
    await tasks.stop();
  }
}

/** Options of {@link followLog}. */
export interface FollowLogOptions {
  readonly agreement: Agreement;
  /** Notified when more of the log has been applied. */
  readonly changed: Notifier;
  readonly clock: Clock;
}

/**
 * Notifies the tasks whenever more of the log has been applied.
 *
 * @param options - The log and the notifier.
 * @param signal - Ends the task.
 */
export async function followLog(
  { agreement, changed, clock }: FollowLogOptions,
  signal: AbortSignal,
): Promise<void> {
  let { appliedIndex } = agreement.status();
  while (!signal.aborted) {
    ({ appliedIndex } = await agreement.follow(appliedIndex, signal));
    await clock.sleep(LOG_BATCH_MS, signal);
    changed.notify();
  }
}
