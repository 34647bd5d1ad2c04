/** Computes when the leases of a runner have certainly expired. */
import type { Clock } from "../../ports/index.ts";
import {
  CLOCK_STEP_MS,
  LEASE_SLACK_MS,
  MAX_CLOCK_DRIFT,
  MAX_READING_AGE_MS,
  MIN_START_LEASE_MS,
  RUN_LEASE_MS,
} from "./timing.ts";

/**
 * Tracks one runner's clock and the leases that were granted on that clock. The
 * leader's time must not run ahead here: a lease would end too early, and a new
 * one would last too long.
 */
export class LeaseTracker {
  readonly #clock: Clock;
  /** Newest reading of the runner's clock (ms); undefined before the first. */
  #runnerMs: number | undefined;
  /** Steady time at which that reading arrived (ms). */
  #arrivedMs = 0;
  #endMs: number;
  /** End of the longest lease granted here, on the runner's clock (ms). */
  #grantedUntilMs = -Infinity;

  /**
   * Starts with one full lease, which an earlier leader may just have granted.
   *
   * @param clock - The leader's clock.
   * @param foreignEndMs - Steady time at which leases have expired that requests
   * to an earlier incarnation may have granted here (ms).
   */
  constructor(clock: Clock, foreignEndMs = -Infinity) {
    this.#clock = clock;
    const inheritedEndMs = clock.steadyMs() + toLongestMs(RUN_LEASE_MS);
    this.#endMs = Math.max(inheritedEndMs, foreignEndMs);
  }

  /**
   * Newest reading of the runner's clock (ms), which the answer to a request that
   * is sent now cannot precede; `-Infinity` before the first.
   */
  get readingMs(): number {
    return this.#runnerMs ?? -Infinity;
  }

  /** Steady time of the leader at which every lease has expired (ms). */
  get endMs(): number {
    return this.#endMs;
  }

  /** Whether every lease has certainly expired. */
  get isExpired(): boolean {
    return this.#clock.steadyMs() > this.#endMs;
  }

  /**
   * Time until every lease has certainly expired (ms); below 0 afterwards.
   */
  get leftMs(): number {
    return this.#endMs - this.#clock.steadyMs();
  }

  /** Time until every lease has certainly expired (ms), rounded up. */
  get remainingMs(): number {
    return Math.max(0, Math.floor(this.leftMs) + 1);
  }

  /**
   * Whether a lease would be short because the newest reading of the runner's
   * clock is old.
   */
  get needsReading(): boolean {
    return this.#readingAgeMs > MAX_READING_AGE_MS;
  }

  /** Records a reading of the runner's clock that has just arrived (ms). */
  observe(runnerMs: number): void {
    this.#runnerMs = runnerMs;
    this.#arrivedMs = this.#clock.steadyMs();
  }

  /**
   * Grants a lease that begins now.
   *
   * @returns Its end on the runner's clock (ms), or undefined while that clock
   * is unknown.
   */
  grant(): number | undefined {
    if (this.#runnerMs === undefined) {
      return undefined;
    }
    // The runner's clock may be slow. If it were taken to be ahead of what it
    // shows, the lease could last longer than the next leader expects.
    const leastElapsedMs = this.#readingAgeMs * (1 - MAX_CLOCK_DRIFT);
    const untilMs = Math.floor(this.#runnerMs + leastElapsedMs + RUN_LEASE_MS);
    const endMs = this.#arrivedMs + toLongestMs(untilMs - this.#runnerMs);
    this.#endMs = Math.max(this.#endMs, endMs);
    this.#grantedUntilMs = Math.max(this.#grantedUntilMs, untilMs);
    return untilMs;
  }

  /**
   * Returns the lease for a start, and grants one only when too little of the
   * granted lease remains. Otherwise starts that are sent to a runner that has
   * just stopped responding would delay the moment at which its work can be
   * placed elsewhere.
   *
   * @returns Its end on the runner's clock (ms), or undefined while that clock
   * is unknown.
   */
  grantForStart(): number | undefined {
    const isEnough = this.#runnerMs !== undefined &&
      this.#grantedUntilMs - this.#runnerMs - this.#readingAgeMs >=
        MIN_START_LEASE_MS;
    return isEnough ? this.#grantedUntilMs : this.grant();
  }

  get #readingAgeMs(): number {
    return this.#clock.steadyMs() - this.#arrivedMs;
  }
}

/**
 * Checks whether the answer to a start is from the clock of a successor, which
 * starts anew: no lease that was granted on the clock that answers lasts longer
 * than {@link RUN_LEASE_MS} there.
 *
 * @param leaseUntilMs - End of the lease that the start carried (ms).
 * @param runnerMs - The runner's clock in the answer (ms).
 */
export function isOtherClock(leaseUntilMs: number, runnerMs: number): boolean {
  return leaseUntilMs - runnerMs > RUN_LEASE_MS + CLOCK_STEP_MS;
}

/**
 * Computes the longest time on the leader's clock until the clock of a runner,
 * which may be slow, has advanced by a duration.
 *
 * @param durationMs - The duration on the runner's clock (ms).
 * @returns The time with a margin, in milliseconds.
 */
export function toLongestMs(durationMs: number): number {
  return durationMs / (1 - MAX_CLOCK_DRIFT) + LEASE_SLACK_MS;
}
