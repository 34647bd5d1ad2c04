/** How fast the requests of one team on one queue leave their line. */
import { WindowCounter } from "../counting/index.ts";

const RATE_WINDOW_MS = 2_000;
const MIN_OBSERVED_MS = 100;
const RUN_TIME_WEIGHT = 0.05;

/** Follows how long the work of one queue takes. */
export class RunTimeEstimate {
  #lowRunMs: number | undefined;

  /** A low estimate, in milliseconds; 0 before any work. */
  get lowRunMs(): number {
    return this.#lowRunMs ?? 0;
  }

  /**
   * Notes how long work took.
   *
   * @param runMs - Run time, in milliseconds.
   */
  record(runMs: number): void {
    const known = this.#lowRunMs ?? runMs;
    // Falls at once and rises slowly, so that short work is never given up.
    this.#lowRunMs = Math.min(
      runMs,
      known + (runMs - known) * RUN_TIME_WEIGHT,
    );
  }
}

/** Follows one line: who waits and how many are granted. */
export class TeamBacklog {
  #waitingCount = 0;
  #backlogSinceMs = 0;
  #grants = new WindowCounter(RATE_WINDOW_MS);
  readonly #runTimes: RunTimeEstimate;

  /** @param runTimes - Run times of the queue, shared by all of its lines. */
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
   * Notes that a request begins to wait.
   *
   * @param nowMs - Monotonic time.
   */
  enter(nowMs: number): void {
    if (this.#waitingCount === 0) {
      this.#backlogSinceMs = nowMs;
      this.#grants = new WindowCounter(RATE_WINDOW_MS);
    }
    this.#waitingCount += 1;
  }

  /**
   * Notes that a request no longer waits.
   *
   * @param nowMs - Monotonic time.
   * @param isGranted - Whether it got its permit.
   */
  leave(nowMs: number, isGranted: boolean): void {
    this.#waitingCount -= 1;
    if (isGranted) {
      this.#grants.add(nowMs);
    }
  }

  /**
   * Estimates the wait of a request that enters now. The rate of grants says
   * something only while the line has a backlog.
   *
   * @param nowMs - Monotonic time.
   * @returns Milliseconds, or undefined when the backlog is too young to tell.
   */
  estimateWaitMs(nowMs: number): number | undefined {
    if (this.#waitingCount === 0) {
      return 0;
    }
    const observedMs = Math.min(nowMs - this.#backlogSinceMs, RATE_WINDOW_MS);
    if (observedMs < MIN_OBSERVED_MS) {
      return undefined;
    }
    // The next grant may be about to come, which matters for slow work.
    const intervalMs = observedMs / (this.#grants.count(nowMs) + 1);
    return (this.#waitingCount + 1) * intervalMs;
  }
}
