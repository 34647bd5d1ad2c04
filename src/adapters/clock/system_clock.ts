/** The clock of this machine. */
import { performance } from "node:perf_hooks";
import type { Clock } from "../../ports/index.ts";

const MAX_TIMER_MS = 2_147_483_647;

/**
 * Difference between the two clocks that counts as a suspension, in
 * milliseconds: more than what time servers correct at once.
 */
const MIN_SUSPENSION_MS = 250;

/** Where a clock reads its time from; tests pass their own. */
export interface ClockSources {
  readonly wallMs: () => number;
  readonly steadyMs: () => number;
}

const MACHINE_SOURCES: ClockSources = {
  wallMs: () => Date.now(),
  steadyMs: () => performance.now(),
};

/** Reads the machine's clocks. */
export class SystemClock implements Clock {
  readonly #sources: ClockSources;
  #lastWallMs: number;
  #lastSteadyMs: number;
  #elapsedMs: number;

  /** @param sources - The clocks to read; those of the machine by default. */
  constructor(sources: ClockSources = MACHINE_SOURCES) {
    this.#sources = sources;
    this.#lastWallMs = sources.wallMs();
    this.#lastSteadyMs = sources.steadyMs();
    this.#elapsedMs = this.#lastSteadyMs;
  }

  nowMs(): number {
    return this.#sources.wallMs();
  }

  // The steady clock stands still while a VM is suspended, and only the time of
  // day shows it. A step of the time of day looks alike: leases then end early,
  // which is safe.
  monotonicMs(): number {
    const wallMs = this.#sources.wallMs();
    const steadyMs = this.#sources.steadyMs();
    const steadyElapsedMs = steadyMs - this.#lastSteadyMs;
    const wallElapsedMs = wallMs - this.#lastWallMs;
    const isSuspended = wallElapsedMs - steadyElapsedMs > MIN_SUSPENSION_MS;
    this.#elapsedMs += isSuspended ? wallElapsedMs : steadyElapsedMs;
    this.#lastWallMs = wallMs;
    this.#lastSteadyMs = steadyMs;
    return this.#elapsedMs;
  }

  // Not the promise timers of node: their wait that ends early builds an
  // error with a stack, and most waits here end early.
  sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) {
      return Promise.resolve();
    }
    const boundedMs = Math.min(Math.max(0, delayMs), MAX_TIMER_MS);
    return new Promise((resolve) => {
      const finish = () => {
        clearTimeout(timer);
        signal?.removeEventListener("abort", finish);
        resolve();
      };
      const timer = setTimeout(finish, boundedMs);
      signal?.addEventListener("abort", finish, { once: true });
    });
  }
}
