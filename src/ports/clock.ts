/** Port for reading time and for waiting. */

/** A source of time; tests replace it by one that they advance themselves. */
export interface Clock {
  /** Returns wall-clock time in ms since the epoch, only for stored times. */
  nowMs(): number;
  /** Returns monotonic time in milliseconds, for leases, deadlines and waits. */
  monotonicMs(): number;
  /**
   * Waits for a time, without spinning.
   *
   * @param delayMs - Time to wait, in milliseconds.
   * @param signal - Ends the wait early.
   * @returns A promise that resolves after the delay, or as soon as the signal
   * aborts.
   */
  sleep(delayMs: number, signal?: AbortSignal): Promise<void>;
}
