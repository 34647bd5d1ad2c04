/** Clock port on top of the clocks of the operating system. */
import { performance } from "node:perf_hooks";
import { clearTimeout, setImmediate, setTimeout } from "node:timers";
import type { Clock } from "../../ports/index.ts";
import { onAbort } from "../../tasks/index.ts";

/** Longest delay that `setTimeout` supports, in milliseconds. */
const MAX_TIMER_MS = 2_147_483_647;

/**
 * How much more the wall clock must advance than the steady clock to count as a
 * suspension of the VM, in milliseconds. This is more than time synchronization
 * corrects at once.
 */
const MIN_SUSPENSION_MS = 250;

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

/** Reads the clocks of the operating system, and detects suspensions. */
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
  // shows the time that passed. A forward step of the wall clock looks the
  // same: leases that this process holds then end early, which is safe. The
  // process may have to wait for a processor between two readings, so the wall
  // clock is compared with the longest time that the steady clock allows.
  monotonicMs(): number {
    const steadyMs = this.#sources.steadyMs();
    const wallMs = this.#sources.wallMs();
    const steadyAfterMs = this.#sources.steadyMs();
    const steadyElapsedMs = steadyAfterMs - this.#lastSteadyAfterMs;
    const longestMs = steadyAfterMs - this.#lastSteadyMs;
    const wallElapsedMs = wallMs - this.#lastWallMs;
    const isSuspended = wallElapsedMs - longestMs > MIN_SUSPENSION_MS;
    this.#elapsedMs += isSuspended ? wallElapsedMs : steadyElapsedMs;
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
