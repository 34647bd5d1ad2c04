/** A clock whose timers can be held back. */
import type { Clock } from "../ports/index.ts";
import { Notifier } from "../tasks/index.ts";

/** The clock of one process, whose timers wait while the process is stopped. */
export class PausableClock implements Clock {
  readonly #clock: Clock;
  readonly #resumed = new Notifier();
  #isPaused = false;

  /** @param clock - The time of all processes. */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  nowMs(): number {
    return this.#clock.nowMs();
  }

  monotonicMs(): number {
    return this.#clock.monotonicMs();
  }

  async sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
    await this.#clock.sleep(delayMs, signal);
    while (this.#isPaused && !signal?.aborted) {
      await this.#resumed.wait(signal);
    }
  }

  /** Holds back all timers. */
  pause(): void {
    this.#isPaused = true;
  }

  /** Ends all timers that are due. */
  resume(): void {
    this.#isPaused = false;
    this.#resumed.notify();
  }
}
