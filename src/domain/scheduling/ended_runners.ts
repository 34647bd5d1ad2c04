/** Runner incarnations that have ended for good. */
import type { RunnerIncarnation } from "./runner.ts";

/**
 * Time for which an incarnation that has ended is kept, in milliseconds. An
 * announcement that waited for longer than this at a controller is taken for
 * that of a new runner.
 */
export const ENDED_RUNNER_KEEP_MS = 60_000;

/** An incarnation that has ended for good. */
export interface EndedRunner extends RunnerIncarnation {
  /** Wall-clock time of the leader at which its end was recorded (ms). */
  readonly endedAtMs: number;
}

/** The newest ended incarnation of each runner that ended lately. */
export class EndedRunners {
  /** By runner id, in the order in which they were added. */
  readonly #ended = new Map<string, EndedRunner>();

  /** Tells whether an incarnation, or a later one of its runner, has ended. */
  has({ runnerId, bornAtMs }: RunnerIncarnation): boolean {
    return bornAtMs <= (this.#ended.get(runnerId)?.bornAtMs ?? -Infinity);
  }

  /**
   * Finds when the end of an incarnation of a runner was last recorded.
   *
   * @param runnerId - The runner.
   * @returns Wall-clock time (ms), or undefined if none ended lately.
   */
  findEndedAtMs(runnerId: string): number | undefined {
    return this.#ended.get(runnerId)?.endedAtMs;
  }

  /**
   * Adds an incarnation.
   *
   * @param incarnation - The incarnation; earlier ones have ended as well.
   * @param endedAtMs - Wall-clock time at which its end was recorded (ms).
   */
  add({ runnerId, bornAtMs }: RunnerIncarnation, endedAtMs: number): void {
    const knownMs = this.#ended.get(runnerId)?.bornAtMs ?? -Infinity;
    this.#ended.delete(runnerId);
    this.#ended.set(runnerId, {
      runnerId,
      bornAtMs: Math.max(knownMs, bornAtMs),
      endedAtMs,
    });
  }

  /** Removes what is known of a runner. */
  delete(runnerId: string): void {
    this.#ended.delete(runnerId);
  }

  /**
   * Removes the incarnations that were added longer ago than
   * {@link ENDED_RUNNER_KEEP_MS}.
   *
   * @param nowMs - Wall-clock time, in milliseconds.
   */
  prune(nowMs: number): void {
    for (const { runnerId, endedAtMs } of this.#ended.values()) {
      // The wall clock of an earlier leader may have been far ahead.
      if (Math.abs(nowMs - endedAtMs) <= ENDED_RUNNER_KEEP_MS) {
        return;
      }
      this.#ended.delete(runnerId);
    }
  }

  /** Lists the incarnations in the order in which they were added. */
  list(): readonly EndedRunner[] {
    return [...this.#ended.values()];
  }

  /** Restores the incarnations of a snapshot. */
  restore(ended: readonly EndedRunner[]): void {
    ended.forEach((runner) => this.#ended.set(runner.runnerId, runner));
  }
}
