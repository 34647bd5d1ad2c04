/** A clock whose timers can be paused. */
import type { Clock } from "../ports/index.ts";
import { Notifier } from "../tasks/index.ts";

/** The clock of one process; its timers do not fire while it is paused. */
export class PausableClock implements Clock {
  readonly #clock: Clock;
  readonly #resumed = new Notifier();
  #isPaused = false;
  /** Time by which the wall clock was set ahead (ms). */
  #aheadMs = 0;

  /**
   * Creates the clock of a process.
   *
   * @param clock - Clock that all processes share.
   */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Whether the timers are paused. */
  get isPaused(): boolean {
    return this.#isPaused;
  }

  nowMs(): number {
    return this.#clock.nowMs() + this.#aheadMs;
  }

  monotonicMs(): number {
    return this.#clock.monotonicMs() + this.#aheadMs;
  }

  steadyMs(): number {
    return this.#clock.steadyMs();
  }

  async sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
    await this.#clock.sleep(delayMs, signal);
    await this.waitUntilResumed(signal);
  }

  /** Waits while the clock is paused, as everything in that process does. */
  async waitUntilResumed(signal?: AbortSignal): Promise<void> {
    while (this.#isPaused && !signal?.aborted) {
      await this.#resumed.wait(signal);
    }
  }

  startTimer(delayMs: number, wake: () => void): () => void {
    let isCancelled = false;
    const fire = () => {
      if (isCancelled) {
        return;
      }
      if (this.#isPaused) {
        void this.#resumed.wait().then(fire);
      } else {
        wake();
      }
    };
    const cancel = this.#clock.startTimer(delayMs, fire);
    return () => {
      isCancelled = true;
      cancel();
    };
  }

  /**
   * Sets the wall clock ahead, which looks like a suspension of the VM.
   *
   * @param stepMs - Time by which it is set ahead (ms).
   */
  setAhead(stepMs: number): void {
    this.#aheadMs += stepMs;
  }

  /** Delays all timers until `resume`; the time itself goes on. */
  pause(): void {
    this.#isPaused = true;
  }

  /** Fires all timers that became due during the pause. */
  resume(): void {
    this.#isPaused = false;
    this.#resumed.notify();
  }
}
