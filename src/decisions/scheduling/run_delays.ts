/** Learns by how much runs take longer than the estimates of their steps. */

/** Weight of one run in the average: about the last twenty count. */
const RUN_WEIGHT = 0.05;
/**
 * Largest difference from the average that one run counts with, in
 * milliseconds. Steps that count as late for a single long run may get no
 * runner, and then no other run would correct the average.
 */
const MAX_DEVIATION_MS = 1_000;

/**
 * Average delay of the runs of each queue: the time from placing a task until
 * its end is known, minus the estimate of its step. It covers wrong estimates
 * as well as commits, requests and a leader that is short of processor time.
 */
export class RunDelays {
  readonly #meanMsByQueue = new Map<string, number>();

  /**
   * Records a run that ended as done.
   *
   * @param queue - Name of the job's queue.
   * @param delayMs - Its duration minus the estimate (ms); negative for a run
   * that was faster than estimated.
   */
  record(queue: string, delayMs: number): void {
    const meanMs = this.#meanMsByQueue.get(queue) ?? 0;
    const deviationMs = Math.max(
      -MAX_DEVIATION_MS,
      Math.min(delayMs - meanMs, MAX_DEVIATION_MS),
    );
    this.#meanMsByQueue.set(queue, meanMs + deviationMs * RUN_WEIGHT);
  }

  /**
   * Returns the average delay of a queue's runs (ms); 0 before the first.
   *
   * @param queue - Name of the queue.
   */
  find(queue: string): number {
    return this.#meanMsByQueue.get(queue) ?? 0;
  }
}
