/** Learns which runners take far longer than others for work of a queue. */
import type { RunnerIncarnation } from "../../domain/index.ts";

/** Number of newest runs that all must have been slow. */
const RUN_COUNT = 3;
/** How many times as long as usual a slow run takes. */
const SLOW_FACTOR = 3;
/** Weight of one run in the usual duration: about the last twenty count. */
const RUN_WEIGHT = 0.05;
/** Largest factor by which one run counts as longer or shorter than usual. */
const MAX_FACTOR = 3;
/** Time after the newest run of a slow runner until it is tried again (ms). */
const MAX_AGE_MS = 10_000;

interface RunnerPace {
  readonly bornAtMs: number;
  /** How many times as long as usual the newest runs took. */
  readonly factors: readonly number[];
  /** Wall-clock time of the newest end (ms). */
  readonly atMs: number;
}

/**
 * Compares the runs of each runner with those of the same queue elsewhere. Single
 * tasks may legitimately take several times as long, so several runs in a row
 * must have. It is only kept in memory, because it decides no more than where
 * work goes first; a new leader learns it anew.
 */
export class RunnerPaces {
  /** Logarithm of the usual duration divided by the estimate, by queue. */
  readonly #usualByQueue = new Map<string, number>();
  /** By runner id, in the order of their newest runs. */
  readonly #paces = new Map<string, RunnerPace>();

  /**
   * Records a run that ended as done.
   *
   * @param runner - The runner incarnation.
   * @param queue - Key of the job's queue.
   * @param ratio - Duration divided by the estimate of the step.
   * @param nowMs - Wall-clock time (ms).
   */
  record(
    { runnerId, bornAtMs }: RunnerIncarnation,
    queue: string,
    ratio: number,
    nowMs: number,
  ): void {
    if (!(ratio > 0) || !Number.isFinite(ratio)) {
      return;
    }
    const value = Math.log(ratio);
    const usual = this.#usualByQueue.get(queue) ?? value;
    const limit = Math.log(MAX_FACTOR);
    const deviation = Math.max(-limit, Math.min(value - usual, limit));
    this.#usualByQueue.set(queue, usual + deviation * RUN_WEIGHT);
    const known = this.#paces.get(runnerId);
    const factors = known?.bornAtMs === bornAtMs ? known.factors : [];
    this.#paces.delete(runnerId);
    this.#paces.set(runnerId, {
      bornAtMs,
      factors: [...factors, Math.exp(value - usual)].slice(-RUN_COUNT),
      atMs: nowMs,
    });
    this.#prune(nowMs);
  }

  /**
   * Finds how slow a runner is.
   *
   * @param runner - The runner incarnation.
   * @param nowMs - Wall-clock time (ms).
   * @returns How many times as long as usual the shortest of its newest runs
   * took, or undefined unless all of them were slow and that is recent.
   */
  findSlowness(
    { runnerId, bornAtMs }: RunnerIncarnation,
    nowMs: number,
  ): number | undefined {
    const pace = this.#paces.get(runnerId);
    if (
      pace?.bornAtMs !== bornAtMs || pace.factors.length < RUN_COUNT ||
      Math.abs(nowMs - pace.atMs) > MAX_AGE_MS
    ) {
      return undefined;
    }
    const least = Math.min(...pace.factors);
    return least >= SLOW_FACTOR ? least : undefined;
  }

  #prune(nowMs: number): void {
    for (const [runnerId, { atMs }] of this.#paces) {
      if (Math.abs(nowMs - atMs) <= MAX_AGE_MS) {
        return;
      }
      this.#paces.delete(runnerId);
    }
  }
}
