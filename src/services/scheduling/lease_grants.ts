/** Decides whether the runs on one runner may get a lease. */
import {
  formatTaskId,
  type RunnerLoad,
  type RunningTask,
} from "../../domain/index.ts";
import type { LeaseTracker } from "./lease_tracker.ts";
import type { RunnerStatus } from "./runner_status.ts";
import type { SchedulingLog } from "./scheduling_log.ts";

/** Options of {@link LeaseGrants}. */
export interface LeaseGrantsOptions {
  readonly log: SchedulingLog;
  readonly status: RunnerStatus;
  readonly lease: LeaseTracker;
  readonly findLoad: () => RunnerLoad;
}

/**
 * Grants the leases that polls and starts carry. A granted lease counts even if
 * the request that carries it is lost.
 */
export class LeaseGrants {
  readonly #options: LeaseGrantsOptions;

  constructor(options: LeaseGrantsOptions) {
    this.#options = options;
  }

  /**
   * Renews the leases of the runs that the log places on the runner.
   *
   * @returns The end of the leases on the runner's clock (ms), or undefined when
   * a poll must not renew them.
   */
  renew(): number | undefined {
    const { findLoad, lease, status } = this.#options;
    return status.isSynced && findLoad().running.size > 0
      ? this.#grant(() => lease.grant())
      : undefined;
  }

  /**
   * Grants the lease that a start carries.
   *
   * @param run - The run.
   * @returns The end of the lease on the runner's clock (ms), or undefined when
   * the run must not start.
   */
  grantForStart(run: RunningTask): number | undefined {
    const { findLoad, lease } = this.#options;
    const placed = findLoad().running.get(formatTaskId(run.id));
    return placed?.runNumber === run.runNumber
      ? this.#grant(() => lease.grantForStart())
      : undefined;
  }

  // The process may have been suspended before the lease was computed, so the
  // leadership is checked afterwards.
  #grant(chooseUntilMs: () => number | undefined): number | undefined {
    const { log, status } = this.#options;
    if (!status.mayGetLease) {
      return undefined;
    }
    const untilMs = chooseUntilMs();
    status.recordLease();
    return log.holdsLeaderLease ? untilMs : undefined;
  }
}
