/** The clock of this machine. */
import { performance } from "node:perf_hooks";
import type { Clock } from "../../ports/index.ts";

const MAX_TIMER_MS = 2_147_483_647;

/** Reads the machine's clocks. */
export class SystemClock implements Clock {
  nowMs(): number {
    return Date.now();
  }

  monotonicMs(): number {
    return performance.now();
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
