/** Task of the leader that records which starts were confirmed. */
import type { StartName } from "../../domain/index.ts";
import type { Clock, Logger } from "../../ports/index.ts";
import { formatRun } from "./run_name.ts";
import type { RunnerFleet } from "./runner_fleet.ts";
import type { SchedulingLog } from "./scheduling_log.ts";
import { CONFIRM_TICK_MS } from "./timing.ts";

/** Options of {@link StartConfirmer}. */
export interface StartConfirmerOptions {
  readonly log: SchedulingLog;
  readonly fleet: Pick<RunnerFleet, "findStatus">;
  readonly clock: Clock;
  readonly logger: Logger;
}

/**
 * Gathers the starts that runners have confirmed into one entry of the log. The
 * next leader waits for the leases of a successor only where one is missing.
 */
export class StartConfirmer {
  readonly #options: StartConfirmerOptions;

  constructor(options: StartConfirmerOptions) {
    this.#options = options;
  }

  /**
   * Records confirmed starts until the signal aborts.
   *
   * @param signal - Ends the task.
   */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, log } = this.#options;
    while (!signal.aborted) {
      await clock.sleep(CONFIRM_TICK_MS, signal);
      if (!signal.aborted && log.holdsLeaderLease) {
        await this.#record();
      }
    }
  }

  async #record(): Promise<void> {
    const { log, logger } = this.#options;
    const starts = log.state.jobs.unconfirmed.list();
    const at = starts.findLastIndex((start) => this.#isConfirmed(start));
    const through = starts[at];
    if (through === undefined) {
      return;
    }
    const open = starts.slice(0, at).filter((start) =>
      !this.#isConfirmed(start)
    );
    const proposed = await log.propose([{ type: "confirm", through, open }]);
    if (proposed.isErr) {
      logger.warn(
        { failure: proposed.error },
        "failed to record confirmed starts; the next entry contains them",
      );
    }
  }

  #isConfirmed(start: StartName): boolean {
    const { fleet, log } = this.#options;
    const { jobs } = log.state;
    const life = jobs.find(start.task.jobId)?.findTask(start.task)?.life;
    const status = life && fleet.findStatus(life);
    return status?.confirmedRuns.has(formatRun(start)) ?? false;
  }
}
