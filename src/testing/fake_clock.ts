/** A clock that moves only when a test says so. */
import { setImmediate as nextTurn } from "node:timers/promises";
import type { Clock } from "../ports/index.ts";

interface Timer {
  readonly dueMs: number;
  readonly wake: () => void;
}

/** Time that advances timer by timer, so that runs repeat exactly. */
export class FakeClock implements Clock {
  #nowMs = 0;
  readonly #timers = new Set<Timer>();

  nowMs(): number {
    return this.#nowMs;
  }

  monotonicMs(): number {
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

  /**
   * Advances time, waking each timer at its moment, in order.
   *
   * @param durationMs - How far to advance, in milliseconds.
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
   * Advances until a promise has settled.
   *
   * @param promise - What is waited for.
   * @param maxMs - Time after which the wait fails, in milliseconds.
   * @returns The promise's value.
   * @throws Error when it has not settled by then.
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
        throw new Error(`nothing settled within ${maxMs} ms`);
      }
      this.#nowMs = next.dueMs;
      next.wake();
      await settle();
    }
    return await promise;
  }

  // Sets keep the order of insertion, so equal times wake in order of creation.
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

/** Lets every task run until it waits for time, a message or the disk. */
export async function settle(): Promise<void> {
  await nextTurn();
}
