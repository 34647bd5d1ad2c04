/** The clock of this machine. */
import { performance } from "node:perf_hooks";
import { setTimeout as setTimer } from "node:timers/promises";
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

  async sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
    const boundedMs = Math.min(Math.max(0, delayMs), MAX_TIMER_MS);
    try {
      await setTimer(
        boundedMs,
        undefined,
        signal === undefined ? {} : { signal },
      );
    } catch (error) {
      if (!signal?.aborted) {
        throw error;
      }
    }
  }
}
