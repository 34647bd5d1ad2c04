/** A clock whose time a test advances. */
import { setImmediate as nextTurn } from "node:timers/promises";
import type { Clock } from "../ports/index.ts";

interface Timer {
  readonly dueMs: number;
  readonly wake: () => void;
}

/** A clock that fires one timer at a time, which makes tests deterministic. */
export class FakeClock implements Clock {
  #nowMs = 0;
  readonly #timers = new Set<Timer>();

  /** Number of timers that wait. */
  get timerCount(): number {
    return this.#timers.size;
  }

  nowMs(): number {
    return this.#nowMs;
  }

  monotonicMs(): number {
    return this.#nowMs;
  }

  steadyMs(): number {
    return this.#nowMs;
  }

  sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) {
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      const wake = () => {
        this.#timers.delete(timer);
        signal?.removeEventListener("abort", wake);
        resolve();
      };
      const timer = { dueMs: this.#nowMs + Math.max(0, delayMs), wake };
      this.#timers.add(timer);
      signal?.addEventListener("abort", wake, { once: true });
    });
  }

  startTimer(delayMs: number, wake: () => void): () => void {
    const fire = () => {
      this.#timers.delete(timer);
      wake();
    };
    const timer = { dueMs: this.#nowMs + Math.max(0, delayMs), wake: fire };
    this.#timers.add(timer);
    return () => this.#timers.delete(timer);
  }

  /**
   * Advances time and fires each timer when it is due, in order.
   *
   * @param durationMs - Time to advance by, in milliseconds.
   */
  async advance(durationMs: number): Promise<void> {
    const endMs = this.#nowMs + durationMs;
    await settle();
    for (
      let next = this.#findNext(endMs);
      next !== undefined;
      next = this.#findNext(endMs)
    ) {
      this.#nowMs = next.dueMs;
      next.wake();
      await settle();
    }
    this.#nowMs = endMs;
  }

  /**
   * Advances time until a promise has settled.
   *
   * @param promise - The promise to wait for.
   * @param maxMs - Maximum time to advance by, in milliseconds.
   * @returns The value of the promise.
   * @throws Error when it has not settled by then, or its rejection.
   */
  async runUntil<T>(promise: Promise<T>, maxMs: number): Promise<T> {
    let isSettled = false;
    const mark = () => {
      isSettled = true;
    };
    promise.then(mark, mark);
    const endMs = this.#nowMs + maxMs;
    await settle();
    while (!isSettled) {
      const next = this.#findNext(endMs);
      if (next === undefined) {
        throw new Error(`the promise did not settle within ${maxMs} ms`);
      }
      this.#nowMs = next.dueMs;
      next.wake();
      await settle();
    }
    return await promise;
  }

  // A Set keeps insertion order, so timers due at the same time fire in the
  // order of their creation.
  #findNext(endMs: number): Timer | undefined {
    let earliest: Timer | undefined;
    for (const timer of this.#timers) {
      const isEarlier = earliest === undefined || timer.dueMs < earliest.dueMs;
      if (timer.dueMs <= endMs && isEarlier) {
        earliest = timer;
      }
    }
    return earliest;
  }
}

/**
 * Runs all pending microtasks, until every task waits for a timer or for I/O.
 */
export async function settle(): Promise<void> {
  await nextTurn();
}
