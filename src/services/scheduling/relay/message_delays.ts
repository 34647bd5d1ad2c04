/** Estimates how long the messages of one process were on their way. */
import { MAX_CLOCK_DRIFT } from "../timing.ts";

/**
 * Compares the delay of each message with the shortest one. The clocks of both
 * processes have no common origin, so that only the difference is known.
 */
export class MessageDelays {
  /** Least difference between the clocks at an arrival (ms). */
  #leastOffsetMs = Infinity;
  #arrivedAtMs = 0;

  /**
   * Records a message.
   *
   * @param sentAtMs - Time on the sender's steady clock (ms).
   * @param arrivedAtMs - Time on the own steady clock (ms).
   * @returns How much longer than the fastest message it took, in milliseconds;
   * 0 for the first one.
   */
  record(sentAtMs: number, arrivedAtMs: number): number {
    const offsetMs = arrivedAtMs - sentAtMs;
    const driftMs = MAX_CLOCK_DRIFT * (arrivedAtMs - this.#arrivedAtMs);
    this.#leastOffsetMs = Math.min(offsetMs, this.#leastOffsetMs + driftMs);
    this.#arrivedAtMs = arrivedAtMs;
    return offsetMs - this.#leastOffsetMs;
  }
}
