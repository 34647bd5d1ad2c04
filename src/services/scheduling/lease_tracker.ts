/** When the leases of a runner have certainly ended. */
import type { Clock } from "../../ports/index.ts";
import {
  LEASE_SLACK_MS,
  MAX_CLOCK_DRIFT,
  RUN_LEASE_MS,
  START_LEASE_MS,
} from "./timing.ts";

/** Follows one runner's clock and the leases that were granted on it. */
export class LeaseTracker {
  readonly #clock: Clock;
  /** Runner's clock as of the newest answer, and when that arrived (ms). */
  #runnerMs: number | undefined;
  #arrivedMs = 0;
  #endMs: number;
  /** End of the longest lease granted here, on the runner's clock (ms). */
  #grantedUntilMs = -Infinity;

  /** @param clock - The own clock; an earlier leader may have granted until now. */
  constructor(clock: Clock) {
    this.#clock = clock;
    this.#endMs = clock.monotonicMs() + toLongestMs(RUN_LEASE_MS);
  }

  /** Own monotonic time after which nothing granted can still hold (ms). */
  get endMs(): number {
    return this.#endMs;
  }

  /** Whether every lease has certainly ended. */
  get isExpired(): boolean {
    return this.#clock.monotonicMs() > this.#endMs;
  }

  /** Time until every lease has certainly ended (ms), rounded up. */
  get remainingMs(): number {
    const leftMs = this.#endMs - this.#clock.monotonicMs();
    return Math.max(0, Math.floor(leftMs) + 1);
  }

  /** Takes a reading of the runner's clock that has just arrived (ms). */
  observe(runnerMs: number): void {
    this.#runnerMs = runnerMs;
    this.#arrivedMs = this.#clock.monotonicMs();
  }

  /**
   * Grants a lease from now.
   *
   * @returns Its end on the runner's clock (ms), or undefined while that clock
   * is not known.
   */
  grant(): number | undefined {
    if (this.#runnerMs === undefined) {
      return undefined;
    }
    const untilMs = Math.floor(
      this.#estimateRunnerMs(this.#runnerMs) + RUN_LEASE_MS,
    );
    const endMs = this.#arrivedMs + toLongestMs(untilMs - this.#runnerMs);
    this.#endMs = Math.max(this.#endMs, endMs);
    this.#grantedUntilMs = Math.max(this.#grantedUntilMs, untilMs);
    return untilMs;
  }

  /**
   * Finds the lease for a start. One that was granted before is used while
   * enough of it is left: starts to a runner that has just fallen silent must
   * not put off the moment from which its work can go elsewhere.
   *
   * @returns Its end on the runner's clock (ms), or undefined while that clock
   * is not known.
   */
  grantForStart(): number | undefined {
    const isEnough = this.#runnerMs !== undefined &&
      this.#grantedUntilMs - this.#estimateRunnerMs(this.#runnerMs) >=
        START_LEASE_MS;
    return isEnough ? this.#grantedUntilMs : this.grant();
  }

  #estimateRunnerMs(runnerMs: number): number {
    return runnerMs + this.#clock.monotonicMs() - this.#arrivedMs;
  }
}

function toLongestMs(durationMs: number): number {
  return durationMs / (1 - MAX_CLOCK_DRIFT) + LEASE_SLACK_MS;
}
