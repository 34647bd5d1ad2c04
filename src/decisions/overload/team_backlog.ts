/** Estimates the waits of one team's requests on one queue. */
import { WindowCounter } from "../counting/index.ts";

const RATE_WINDOW_MS = 2_000;
const MIN_OBSERVED_MS = 100;
const RUN_TIME_WEIGHT = 0.05;

/** Low estimate of the run time of one queue's work. */
export class RunTimeEstimate {
  #lowRunMs: number | undefined;

  /** The estimate, in milliseconds; 0 before any work has ended. */
  get lowRunMs(): number {
    return this.#lowRunMs ?? 0;
  }

  /**
   * Records how long work took.
   *
   * @param runMs - Run time, in milliseconds.
   */
  record(runMs: number): void {
    const known = this.#lowRunMs ?? runMs;
    // Falls at once and rises slowly, so that short work is not given up
    // although it could still end in time.
    this.#lowRunMs = Math.min(
      runMs,
      known + (runMs - known) * RUN_TIME_WEIGHT,
    );
  }
}

/** Counts the waiting requests of one team on one queue, and their grants. */
export class TeamBacklog {
  #waitingCount = 0;
  #backlogSinceMs = 0;
  #grants = new WindowCounter(RATE_WINDOW_MS);
  readonly #runTimes: RunTimeEstimate;

  /** @param runTimes - Estimate of the queue, shared by all of its backlogs. */
  constructor(runTimes: RunTimeEstimate) {
    this.#runTimes = runTimes;
  }

  /** Requests that wait now. */
  get waitingCount(): number {
    return this.#waitingCount;
  }

  /** A low estimate of the run time of the queue's work, in milliseconds. */
  get lowRunMs(): number {
    return this.#runTimes.lowRunMs;
  }

  /**
   * Records that a request begins to wait.
   *
   * @param nowMs - Monotonic time, in milliseconds.
   */
  enter(nowMs: number): void {
    if (this.#waitingCount === 0) {
      this.#backlogSinceMs = nowMs;
      this.#grants = new WindowCounter(RATE_WINDOW_MS);
    }
    this.#waitingCount += 1;
  }

  /**
   * Records that a request no longer waits.
   *
   * @param nowMs - Monotonic time, in milliseconds.
   * @param isGranted - Whether it got a permit.
   */
  leave(nowMs: number, isGranted: boolean): void {
    this.#waitingCount -= 1;
    if (isGranted) {
      this.#grants.add(nowMs);
    }
  }

  /**
   * Estimates the wait of a request that enters now, from the rate of grants
   * since the backlog became non-empty.
   *
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns Milliseconds, or undefined when the backlog is too recent for an
   * estimate.
   */
  estimateWaitMs(nowMs: number): number | undefined {
    if (this.#waitingCount === 0) {
      return 0;
    }
    const observedMs = Math.min(nowMs - this.#backlogSinceMs, RATE_WINDOW_MS);
    if (observedMs < MIN_OBSERVED_MS) {
      return undefined;
    }
    // Counts one more grant, because the next one may come soon. This matters
    // for slow work, which has few grants in the window.
    const intervalMs = observedMs / (this.#grants.count(nowMs) + 1);
    return (this.#waitingCount + 1) * intervalMs;
  }
}
