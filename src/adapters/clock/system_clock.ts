/** Clock port on top of the clocks of the operating system. */
import { performance } from "node:perf_hooks";
import { clearTimeout, setImmediate, setTimeout } from "node:timers";
import type { Clock } from "../../ports/index.ts";
import { onAbort } from "../../tasks/index.ts";

/** Longest delay that `setTimeout` supports, in milliseconds. */
const MAX_TIMER_MS = 2_147_483_647;

/**
 * Difference between the wall clock and the steady clock from which the time
 * between two readings counts as unknown, in milliseconds: half of the margin
 * between the leader lease and the promises that it relies on.
 */
const MAX_DIFFERENCE_MS = 50;
/**
 * Least time that counts as elapsed when it is unknown, in milliseconds. It is no
 * shorter than any lease that a process holds.
 */
const MIN_UNKNOWN_MS = 2_000;

/** The clocks that {@link SystemClock} reads; tests pass their own. */
export interface ClockSources {
  /** Reads the time of day, in milliseconds since the epoch. */
  readonly wallMs: () => number;
  /** Reads a clock that never goes back, in milliseconds. */
  readonly steadyMs: () => number;
}

const MACHINE_SOURCES: ClockSources = {
  wallMs: () => Date.now(),
  steadyMs: () => performance.now(),
};

/**
 * Reads the clocks of the operating system, and detects suspensions of the VM and
 * steps of the wall clock.
 */
export class SystemClock implements Clock {
  readonly #sources: ClockSources;
  #lastWallMs: number;
  /** Steady times right before and after the wall clock was last read (ms). */
  #lastSteadyMs: number;
  #lastSteadyAfterMs: number;
  #elapsedMs: number;

  /** @param sources - The clocks to read; the system's clocks by default. */
  constructor(sources: ClockSources = MACHINE_SOURCES) {
    this.#sources = sources;
    this.#lastSteadyMs = sources.steadyMs();
    this.#lastWallMs = sources.wallMs();
    this.#lastSteadyAfterMs = sources.steadyMs();
    this.#elapsedMs = this.#lastSteadyAfterMs;
  }

  nowMs(): number {
    return this.#sources.wallMs();
  }

  // The steady clock stops while a VM is suspended, so only the wall clock
  // shows the time that passed. A step of the wall clock looks the same, and one
  // that sets it back can hide a part of a suspension. When the clocks disagree,
  // all leases that this process holds therefore end, which is safe. The process
  // may have to wait for a processor between two readings, so the wall clock is
  // compared with the shortest and the longest time that the steady clock allows.
  monotonicMs(): number {
    const steadyMs = this.#sources.steadyMs();
    const wallMs = this.#sources.wallMs();
    const steadyAfterMs = this.#sources.steadyMs();
    const steadyElapsedMs = steadyAfterMs - this.#lastSteadyAfterMs;
    const shortestMs = steadyMs - this.#lastSteadyAfterMs;
    const longestMs = steadyAfterMs - this.#lastSteadyMs;
    const wallElapsedMs = wallMs - this.#lastWallMs;
    const isUnknown = wallElapsedMs - longestMs > MAX_DIFFERENCE_MS ||
      shortestMs - wallElapsedMs > MAX_DIFFERENCE_MS;
    this.#elapsedMs += isUnknown
      ? Math.max(wallElapsedMs, steadyElapsedMs, MIN_UNKNOWN_MS)
      : steadyElapsedMs;
    this.#lastWallMs = wallMs;
    this.#lastSteadyMs = steadyMs;
    this.#lastSteadyAfterMs = steadyAfterMs;
    return this.#elapsedMs;
  }

  steadyMs(): number {
    return this.#sources.steadyMs();
  }

  // `node:timers/promises` would create an error with a stack trace for each
  // aborted wait, and most waits are aborted.
  sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) {
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      const finish = () => {
        cancel();
        stopListening?.();
        resolve();
      };
      const cancel = this.startTimer(delayMs, finish);
      const stopListening = signal && onAbort(signal, finish);
    });
  }

  // Node.js runs due timers before it reads its sockets. In a process that was
  // busy, a timeout would thus fire before the answer that already waits in the
  // socket is read, so the timer first lets one round of input pass.
  startTimer(delayMs: number, wake: () => void): () => void {
    let isCancelled = false;
    const fire = () => {
      if (!isCancelled) {
        wake();
      }
    };
    const boundedMs = Math.min(Math.max(0, delayMs), MAX_TIMER_MS);
    const timer = setTimeout(() => setImmediate(fire), boundedMs);
    return () => {
      isCancelled = true;
      clearTimeout(timer);
    };
  }
}
