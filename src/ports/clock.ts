/** Port for reading time and for waiting. */

/** A source of time; tests replace it by one that they advance themselves. */
export interface Clock {
  /** Returns wall-clock time in ms since the epoch, only for stored times. */
  nowMs(): number;
  /**
   * Returns monotonic time in milliseconds, for leases that this process holds.
   * It runs ahead of the real time when the wall clock is set, and does not fall
   * behind it.
   */
  monotonicMs(): number;
  /**
   * Returns monotonic time in milliseconds, for promises that this process has
   * given, leases that others hold, and for how long others are silent. It may
   * fall behind the real time, because it stops while the VM is suspended, but
   * never runs ahead of it.
   */
  steadyMs(): number;
  /**
   * Waits for a time, without spinning.
   *
   * @param delayMs - Time to wait, in milliseconds.
   * @param signal - Ends the wait early.
   * @returns A promise that resolves after the delay, or as soon as the signal
   * aborts.
   */
  sleep(delayMs: number, signal?: AbortSignal): Promise<void>;
  /**
   * Calls a function once after a time. Unlike a sleep, it needs no signal and
   * no promise, which matters for waits that end early thousands of times a
   * second.
   *
   * @param delayMs - Time to wait, in milliseconds.
   * @param wake - Called after the delay, unless the timer was cancelled.
   * @returns A function that cancels the timer.
   */
  startTimer(delayMs: number, wake: () => void): () => void;
}
