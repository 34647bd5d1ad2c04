/** When the leases of a runner have certainly ended. */
import type { Clock } from "../../ports/index.ts";
import { LEASE_SLACK_MS, MAX_CLOCK_DRIFT, RUN_LEASE_MS } from "./timing.ts";

/** Follows one runner's clock and the leases that were granted on it. */
export class LeaseBound {
  readonly #clock: Clock;
  /** Runner's clock as of the newest answer, and when that arrived (ms). */
  #runnerMs: number | undefined;
  #arrivedMs = 0;
  #endMs: number;

  /** @param clock - The own clock; an earlier leader may have granted until now. */
  constructor(clock: Clock) {
    this.#clock = clock;
    this.#endMs = clock.monotonicMs() + stretch(RUN_LEASE_MS);
  }

  /** Own monotonic time after which nothing granted can still hold (ms). */
  get endMs(): number {
    return this.#endMs;
  }

  /** Whether every lease has certainly ended. */
  get isOver(): boolean {
    return this.#clock.monotonicMs() > this.#endMs;
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
    const nowMs = this.#clock.monotonicMs();
    const sinceMs = nowMs - this.#arrivedMs;
    const untilMs = Math.floor(this.#runnerMs + sinceMs + RUN_LEASE_MS);
    const endMs = this.#arrivedMs + stretch(untilMs - this.#runnerMs);
    this.#endMs = Math.max(this.#endMs, endMs);
    return untilMs;
  }
}

function stretch(durationMs: number): number {
  return durationMs / (1 - MAX_CLOCK_DRIFT) + LEASE_SLACK_MS;
}
