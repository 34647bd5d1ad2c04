/** What runs only at the leader, for as long as it leads one term. */
import type { Agreement, Clock, Logger } from "../../ports/index.ts";
import { type Notifier, TaskGroup } from "../../tasks/index.ts";
import { LEADERSHIP_CHECK_MS, LOG_BATCH_MS } from "./timing.ts";

/** Starts what a leader does; called once for each term. */
export type StartLeading = (term: number, tasks: TaskGroup) => void;

/** Options of {@link LeadershipTask}. */
export interface LeadershipTaskOptions {
  readonly agreement: Agreement;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly startLeading: StartLeading;
  readonly stopLeading: () => void;
}

/** Follows the leadership of this entry. */
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
    logger.info({ term }, "schedules no longer");
    stopLeading();
    await tasks.stop();
  }
}

/** Options of {@link followLog}. */
export interface FollowLogOptions {
  readonly agreement: Agreement;
  /** Notified when the log has been applied further. */
  readonly changed: Notifier;
  readonly clock: Clock;
}

/**
 * Notifies whenever the log has been applied further.
 *
 * @param options - The log, and what is notified.
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
