/** The clock of one process, whose VM can be paused, suspended and set. */
import { SystemClock } from "../adapters/clock/index.ts";
import type { Clock } from "../ports/index.ts";
import { Notifier } from "../tasks/index.ts";

/** The clock of one process; its timers do not fire while it is paused. */
export class PausableClock implements Clock {
  readonly #clock: Clock;
  readonly #resumed = new Notifier();
  readonly #system: SystemClock;
  #isPaused = false;
  /** Time by which the wall clock was set ahead (ms). */
  #aheadMs = 0;
  /** Time for which the steady clock stood still in earlier suspensions (ms). */
  #suspendedMs = 0;
  /** Readings at the beginning of the present suspension (ms). */
  #suspended:
    | { readonly steadyMs: number; readonly monotonicMs: number }
    | undefined;

  /**
   * Creates the clock of a process.
   *
   * @param clock - Clock that all processes share.
   */
  constructor(clock: Clock) {
    this.#clock = clock;
    this.#system = new SystemClock({
      wallMs: () => this.nowMs(),
      steadyMs: () => this.steadyMs(),
    });
  }

  /** Whether the timers are paused. */
  get isPaused(): boolean {
    return this.#isPaused;
  }

  nowMs(): number {
    return this.#clock.nowMs() + this.#aheadMs;
  }

  monotonicMs(): number {
    return this.#suspended?.monotonicMs ?? this.#system.monotonicMs();
  }

  steadyMs(): number {
    return this.#suspended?.steadyMs ??
      this.#clock.steadyMs() - this.#suspendedMs;
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
   * Sets the wall clock. Setting it ahead looks like a suspension of the VM.
   *
   * @param stepMs - Time by which it is set ahead (ms); negative to set it back.
   */
  setAhead(stepMs: number): void {
    this.#aheadMs += stepMs;
  }

  /** Delays all timers until `resume`; the time itself goes on. */
  pause(): void {
    this.#isPaused = true;
  }

  /**
   * Delays all timers until `resume`. The steady clock stands still for that
   * time, and the process reads no clock.
   */
  suspend(): void {
    this.#suspended ??= {
      steadyMs: this.steadyMs(),
      monotonicMs: this.monotonicMs(),
    };
    this.#isPaused = true;
  }

  /** Fires all timers that became due during the pause or suspension. */
  resume(): void {
    if (this.#suspended !== undefined) {
      this.#suspendedMs = this.#clock.steadyMs() - this.#suspended.steadyMs;
      this.#suspended = undefined;
    }
    this.#isPaused = false;
    this.#resumed.notify();
  }
}
