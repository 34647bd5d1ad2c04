/** Decides what follows when a poll of a runner has failed. */
import type { RunnerFailure, RunnerRemoval } from "../../ports/index.ts";
import type { RunnerStatus } from "./runner_status.ts";
import {
  MAX_REFUSED_POLLS,
  MAX_REFUSED_RETRY_MS,
  REQUEST_RETRY_MS,
} from "./timing.ts";

/** What may run on a runner when a poll of it has failed. */
export interface PollFailureContext {
  /** Number of runs that the log places on it. */
  readonly runCount: number;
  /** Whether its last report listed others. */
  readonly hasOrphans: boolean;
  /** Time until every lease has certainly expired, in milliseconds. */
  readonly leaseLeftMs: number;
}

/** Why the runner is to be removed, or the pause before the next poll. */
export type PollFailureStep =
  | { readonly removal: RunnerRemoval }
  | { readonly pauseMs: number };

/** Follows the failed polls of one runner. */
export class PollFailures {
  readonly #status: RunnerStatus;
  /** Number of connections that it has refused in a row. */
  #refusedCount = 0;

  /** @param status - Status of the runner. */
  constructor(status: RunnerStatus) {
    this.#status = status;
  }

  /** Records that a poll was answered. */
  recordAnswer(): void {
    this.#refusedCount = 0;
  }

  /**
   * Records a failed poll and chooses what to do next.
   *
   * @param failure - Why the poll failed.
   * @param context - What may run on the runner.
   * @returns The removal or the pause.
   */
  record(
    { refusal }: RunnerFailure,
    { runCount, hasOrphans, leaseLeftMs }: PollFailureContext,
  ): PollFailureStep {
    const { isAnswering, isLeaving } = this.#status;
    this.#status.recordNoAnswer();
    const isRefused = refusal === "notListening";
    this.#refusedCount = isRefused ? this.#refusedCount + 1 : 0;
    if (refusal === "otherLife" || (isRefused && isLeaving)) {
      return { removal: "ended" };
    }
    // The leases of an idle runner expired long ago, so that one lost poll shows
    // nothing.
    const isIdleOnce = isAnswering && runCount === 0;
    if (leaseLeftMs === 0 && !isIdleOnce) {
      return { removal: "leasesExpired" };
    }
    // Without runs, there is no lease to wait for.
    const isUnused = runCount === 0 && !hasOrphans;
    if (isUnused && this.#refusedCount >= MAX_REFUSED_POLLS) {
      return { removal: "notListening" };
    }
    const pauseMs = this.#choosePauseMs();
    return { pauseMs: isIdleOnce ? pauseMs : Math.min(pauseMs, leaseLeftMs) };
  }

  #choosePauseMs(): number {
    const doublings = Math.max(0, this.#refusedCount - 1);
    return Math.min(MAX_REFUSED_RETRY_MS, REQUEST_RETRY_MS * 2 ** doublings);
  }
}
