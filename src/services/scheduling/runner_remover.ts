/** Removes one runner incarnation from the log. */
import type {
  Runner,
  RunnerLoad,
  SchedulingOperation,
} from "../../domain/index.ts";
import type { RunnerRemoval } from "../../ports/index.ts";
import {
  closePreviousIncarnation,
  type PreviousIncarnationOptions,
} from "./previous_incarnation.ts";
import type { RequestObserver } from "./request_observer.ts";
import type { RunnerStatus } from "./runner_status.ts";

/** Options of {@link RunnerRemover}. */
export interface RunnerRemoverOptions
  extends Omit<PreviousIncarnationOptions, "findStatus"> {
  readonly status: RunnerStatus;
  readonly requests: RequestObserver;
  /** Returns the runner as it last announced itself. */
  readonly findRunner: () => Runner;
  readonly findLoad: () => RunnerLoad;
}

/**
 * Decides on the removal of a runner and records it. A removed runner gets no
 * more requests, because the removal may be applied at any time.
 */
export class RunnerRemover {
  readonly #options: RunnerRemoverOptions;
  #isDecided = false;

  constructor(options: RunnerRemoverOptions) {
    this.#options = options;
  }

  /** Whether the runner is to be removed. */
  get isDecided(): boolean {
    return this.#isDecided;
  }

  /** Decides to remove a runner whose VM was taken away by request. */
  retire(): void {
    this.#isDecided = true;
    this.#options.status.close();
  }

  /**
   * Decides to remove a runner that has ended or does not respond; only a leader
   * that holds its lease does.
   *
   * @param removal - The reason, for the log and the metrics.
   */
  giveUp(removal: RunnerRemoval): void {
    const { findLoad, findRunner, log, logger, requests } = this.#options;
    if (!log.holdsLeaderLease) {
      return;
    }
    this.retire();
    const { runnerId, bornAtMs } = findRunner();
    const runCount = findLoad().running.size;
    logger.warn(
      { runnerId, bornAtMs, runCount, ...requests.recordRemoval(removal) },
      "gives up a runner",
    );
  }

  /** Records the removal. To be called again until the log has applied it. */
  async record(): Promise<void> {
    await this.#propose([]);
  }

  /**
   * Removes a runner in whose place another incarnation answers that has not
   * announced itself yet, once its runs can no longer start there.
   */
  async replace(): Promise<void> {
    const { findRunner, log, logger, requests, status } = this.#options;
    const runner = findRunner();
    const { runnerId, bornAtMs } = runner;
    const ends = await closePreviousIncarnation(
      { ...this.#options, findStatus: () => status },
      runner,
      runner,
    );
    if (ends !== undefined && log.holdsLeaderLease) {
      logger.warn(
        { runnerId, bornAtMs, ...requests.recordRemoval("replaced") },
        "a runner was replaced by a new incarnation",
      );
      await this.#propose(ends);
    }
  }

  async #propose(ends: readonly SchedulingOperation[]): Promise<void> {
    const { findRunner, log, logger } = this.#options;
    const { runnerId, bornAtMs } = findRunner();
    const proposed = await log.propose([
      ...ends,
      { type: "runnerGone", runnerId, bornAtMs },
    ]);
    if (proposed.isErr) {
      logger.warn(
        { runnerId, bornAtMs, failure: proposed.error },
        "failed to record the removal of a runner; proposing it again",
      );
    }
  }
}
