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
 * Time without an ended run after which the average is forgotten, in
 * milliseconds. A queue whose steps count as late ends no run that could correct
 * it.
 */
const MAX_AGE_MS = 10_000;

interface Average {
  readonly meanMs: number;
  /** Wall-clock time of the newest run (ms). */
  readonly atMs: number;
}

/**
 * Average delay of the runs of each queue: the time from placing a task until
 * its end is known, minus the estimate of its step. It covers wrong estimates
 * as well as commits, requests and a leader that is short of processor time.
 */
export class RunDelays {
  readonly #averageByQueue = new Map<string, Average>();

  /**
   * Records a run that ended as done.
   *
   * @param queue - Key of the job's queue.
   * @param delayMs - Its duration minus the estimate (ms); negative for a run
   * that was faster than estimated.
   * @param nowMs - Wall-clock time (ms).
   */
  record(queue: string, delayMs: number, nowMs: number): void {
    const meanMs = this.find(queue, nowMs);
    const deviationMs = Math.max(
      -MAX_DEVIATION_MS,
      Math.min(delayMs - meanMs, MAX_DEVIATION_MS),
    );
    this.#averageByQueue.set(queue, {
      meanMs: meanMs + deviationMs * RUN_WEIGHT,
      atMs: nowMs,
    });
  }

  /**
   * Returns the average delay of a queue's runs (ms); 0 when none has
   * ended for long.
   *
   * @param queue - Key of the queue.
   * @param nowMs - Wall-clock time (ms).
   */
  find(queue: string, nowMs: number): number {
    const average = this.#averageByQueue.get(queue);
    const isKnown = average !== undefined && nowMs - average.atMs <= MAX_AGE_MS;
    return isKnown ? average.meanMs : 0;
  }
}
