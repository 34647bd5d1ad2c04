/** Chooses how long the leader gathers work that it handles in batches. */
import type { EventLoopLoad } from "../../ports/index.ts";

/** Shortest and longest time for which a kind of work gathers. */
export interface BatchInterval {
  /** Time while the leader is hardly busy (ms). */
  readonly leastMs: number;
  /** Time while the leader is as busy as it can be (ms). */
  readonly mostMs: number;
}

/** Chooses how long work gathers. */
export interface BatchIntervalPolicy {
  /**
   * Chooses the time for which work gathers before it is handled.
   *
   * @param interval - Shortest and longest time.
   * @returns The time (ms).
   */
  chooseMs(interval: BatchInterval): number;
}

/** Baseline: gathers for the shortest time, however busy the leader is. */
export class FixedBatchIntervalPolicy implements BatchIntervalPolicy {
  chooseMs({ leastMs }: BatchInterval): number {
    return leastMs;
  }
}

/** Share of active time up to which work gathers for the shortest time. */
const MIN_BUSY_SHARE = 0.5;

/**
 * Gathers longer the busier the event loop is. Each batch has a cost that does
 * not depend on its size: a poll, a plan, or a message to and from every
 * follower. With short batches, a leader that falls behind spends its processor
 * time on these costs and falls behind further.
 */
export class LoadBatchIntervalPolicy implements BatchIntervalPolicy {
  readonly #eventLoop: EventLoopLoad;

  /** @param eventLoop - The event loop of the process. */
  constructor(eventLoop: EventLoopLoad) {
    this.#eventLoop = eventLoop;
  }

  chooseMs({ leastMs, mostMs }: BatchInterval): number {
    const excess = (this.#eventLoop.activeShare - MIN_BUSY_SHARE) /
      (1 - MIN_BUSY_SHARE);
    const share = Math.min(Math.max(0, excess), 1);
    return leastMs + share * (mostMs - leastMs);
  }
}
