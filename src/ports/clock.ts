/** Time, as the rest of the system sees it. */

/** A source of time that tests can drive. */
export interface Clock {
  /** Wall-clock time in milliseconds since the epoch, for records only. */
  nowMs(): number;
  /** Monotonic time in milliseconds, for leases, deadlines and waits. */
  monotonicMs(): number;
  /**
   * Waits without spinning.
   *
   * @param delayMs - How long to wait.
   * @param signal - Ends the wait early.
   * @returns Resolves after the delay or at once when the signal aborts.
   */
  sleep(delayMs: number, signal?: AbortSignal): Promise<void>;
}
