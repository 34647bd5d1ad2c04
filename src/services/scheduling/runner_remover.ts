/** Removes one runner incarnation from the log. */
import type {
  Runner,
  RunnerLoad,
  SchedulingOperation,
} from "../../domain/index.ts";
import type { Clock, RunnerFailure, RunnerRemoval } from "../../ports/index.ts";
import { createLostEnd } from "./lost_end.ts";
import {
  closePreviousIncarnation,
  type PreviousIncarnationOptions,
} from "./previous_incarnation.ts";
import type { RequestObserver } from "./request_observer.ts";
import type { RunnerStatus } from "./runner_status.ts";
import { EXPIRED_RETRY_MS } from "./timing.ts";
import type { UncertainStarts } from "./uncertain_starts.ts";

/** What is known of a removed incarnation; undefined if it may come back. */
type RunnerFate = Extract<
  SchedulingOperation,
  { type: "runnerGone" }
>["fate"];

/** Options of {@link RunnerRemover}. */
export interface RunnerRemoverOptions
  extends Omit<PreviousIncarnationOptions, "findStatus"> {
  readonly clock: Clock;
  readonly status: RunnerStatus;
  readonly requests: RequestObserver;
  readonly uncertain: UncertainStarts;
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
  #fate: RunnerFate;

  constructor(options: RunnerRemoverOptions) {
    this.#options = options;
  }

  /** Whether the runner is to be removed. */
  get isDecided(): boolean {
    return this.#isDecided;
  }

  /** Decides to remove a runner whose VM was taken away by request. */
  retire(): void {
    this.#decide("ended");
  }

  /**
   * Decides to remove a runner that has ended or does not respond; only a leader
   * that holds its lease does. While a successor may run some of its tasks, only
   * the other runs end.
   *
   * @param removal - The reason, for the log and the metrics.
   * @param failure - Why the last poll failed.
   * @param signal - Ends the pause before the next poll.
   */
  async giveUp(
    removal: RunnerRemoval,
    { refusal }: RunnerFailure,
    signal: AbortSignal,
  ): Promise<void> {
    const { clock, findLoad, findRunner, log, logger, requests, status } =
      this.#options;
    const { leftMs } = this.#options.uncertain;
    if (!log.holdsLeaderLease) {
      return;
    }
    // A successor that ran a task would listen at the address.
    if (
      removal === "leasesExpired" && refusal !== "notListening" && leftMs > 0
    ) {
      await this.#endOtherRuns();
      await clock.sleep(Math.min(EXPIRED_RETRY_MS, leftMs), signal);
      return;
    }
    const hasEnded = removal === "ended" || status.hasGivenNotice;
    this.#decide(hasEnded ? "ended" : undefined);
    const { runnerId, bornAtMs } = findRunner();
    const runCount = findLoad().running.size;
    logger.warn(
      { runnerId, bornAtMs, runCount, ...requests.recordRemoval(removal) },
      "gives up a runner",
    );
  }

  /** Records the removal. To be called again until the log has applied it. */
  async record(): Promise<void> {
    await this.#propose([], this.#fate);
  }

  /**
   * Removes a runner in whose place another incarnation answers that has not
   * announced itself yet, once its runs can no longer start there.
   *
   * @param answeringBornAtMs - Start time of the other incarnation (ms).
   */
  async replace(answeringBornAtMs: number): Promise<void> {
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
      // An announcement under another runner's id may have named a later start.
      const hasEnded = answeringBornAtMs > bornAtMs;
      await this.#propose(ends, hasEnded ? "ended" : "earlierAnswers");
    }
  }

  #decide(fate: RunnerFate): void {
    this.#isDecided = true;
    this.#fate ??= fate;
    this.#options.status.close();
  }

  // Their leases have ended, so that they have too, also if the runner answers
  // before the entry is applied.
  async #endOtherRuns(): Promise<void> {
    const { findLoad, findMaxAttempts, findRunner, log, logger, uncertain } =
      this.#options;
    const runs = [...findLoad().running.values()];
    const others = runs.filter((run) => !uncertain.mayRunAtSuccessor(run));
    if (others.length === 0) {
      return;
    }
    const { runnerId, bornAtMs } = findRunner();
    const fields = {
      runnerId,
      bornAtMs,
      runCount: others.length,
      heldCount: runs.length - others.length,
    };
    logger.warn(
      fields,
      "ends the runs of a silent runner that no successor can have",
    );
    const proposed = await log.propose(
      others.map((run) => createLostEnd(run, findMaxAttempts(run))),
    );
    if (proposed.isErr) {
      logger.warn(
        { ...fields, failure: proposed.error },
        "failed to record the ends of these runs; proposing them again",
      );
    }
  }

  async #propose(
    ends: readonly SchedulingOperation[],
    fate: RunnerFate,
  ): Promise<void> {
    const { findRunner, log, logger } = this.#options;
    const { runnerId, bornAtMs } = findRunner();
    const proposed = await log.propose([
      ...ends,
      { type: "runnerGone", runnerId, bornAtMs, fate },
    ]);
    if (proposed.isErr) {
      logger.warn(
        { runnerId, bornAtMs, failure: proposed.error },
        "failed to record the removal of a runner; proposing it again",
      );
    }
  }
}
