/** Measures how late the timers of the process fire. */
import type {
  Clock,
  EventLoopDelays,
  EventLoopMetrics,
  Logger,
  ProcessUsage,
  ProcessUsageReading,
} from "../../ports/index.ts";
import {
  EVENT_LOOP_CHECK_MS,
  LATE_EVENT_LOOP_LINE_MS,
  LATE_EVENT_LOOP_MS,
} from "./timing.ts";

const PERCENT = 100;
/** Number of kept delays: with on-time checks, more than two leases. */
const MAX_DELAY_COUNT = 32;
/** Step of the wall clock that is logged (ms): above what reading it takes. */
const MIN_LOGGED_STEP_MS = 10;

interface Delay {
  /** Monotonic time at which the timer fired (ms). */
  readonly atMs: number;
  readonly delayMs: number;
}

/** Options of {@link EventLoopWatch}. */
export interface EventLoopWatchOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly usage: ProcessUsage;
  readonly metrics: EventLoopMetrics;
  /** Role of the process in the log. */
  readonly role: string;
  /** Returns whether this process leads. */
  readonly isLeading: () => boolean;
}

/**
 * Checks a few times a second how late the event loop fires a timer, and whether
 * the wall clock was set ahead.
 */
export class EventLoopWatch implements EventLoopDelays {
  readonly #options: EventLoopWatchOptions;
  #delays: readonly Delay[] = [];
  /** Monotonic time at which the pending timer is due (ms). */
  #dueMs = Infinity;
  /** Monotonic time of the last log line (ms). */
  #lineAtMs = -Infinity;
  /** Longest delay since the last log line (ms). */
  #longestMs = 0;

  constructor(options: EventLoopWatchOptions) {
    this.#options = options;
  }

  findLongestDelayMs(sinceMs: number): number {
    const nowMs = this.#options.clock.monotonicMs();
    let longestMs = Math.max(0, nowMs - Math.max(this.#dueMs, sinceMs));
    for (const { atMs, delayMs } of this.#delays) {
      longestMs = Math.max(longestMs, Math.min(delayMs, atMs - sinceMs));
    }
    return longestMs;
  }

  /**
   * Checks the event loop until the signal aborts.
   *
   * @param signal - Ends the task.
   */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, usage } = this.#options;
    let reading = usage.read();
    while (!signal.aborted) {
      const startedMs = clock.monotonicMs();
      const startedSteadyMs = clock.steadyMs();
      this.#dueMs = startedMs + EVENT_LOOP_CHECK_MS;
      await clock.sleep(EVENT_LOOP_CHECK_MS, signal);
      if (signal.aborted) {
        break;
      }
      const atMs = clock.monotonicMs();
      this.#logStep((atMs - startedMs) - (clock.steadyMs() - startedSteadyMs));
      const delayMs = Math.max(0, atMs - this.#dueMs);
      const before = reading;
      reading = usage.read();
      this.#record({ atMs, delayMs });
      this.#log(
        { atMs, delayMs },
        computeShares(before, reading, startedMs, atMs),
      );
    }
    this.#dueMs = Infinity;
  }

  #record(delay: Delay): void {
    this.#options.metrics.recordEventLoopDelay(delay.delayMs);
    this.#delays = [...this.#delays.slice(1 - MAX_DELAY_COUNT), delay];
    this.#longestMs = Math.max(this.#longestMs, delay.delayMs);
  }

  // A suspension in which the steady clock stands still looks the same.
  #logStep(aheadMs: number): void {
    const { isLeading, logger, role } = this.#options;
    if (aheadMs >= MIN_LOGGED_STEP_MS) {
      logger.warn(
        { aheadMs: Math.round(aheadMs), role, isLeading: isLeading() },
        "the wall clock went ahead of the steady clock",
      );
    }
  }

  #log({ atMs, delayMs }: Delay, shares: UsageShares): void {
    const isLate = this.#longestMs >= LATE_EVENT_LOOP_MS;
    if (!isLate || atMs - this.#lineAtMs < LATE_EVENT_LOOP_LINE_MS) {
      return;
    }
    const { isLeading, logger, role } = this.#options;
    logger.warn(
      {
        lateMs: Math.round(delayMs),
        longestLateMs: Math.round(this.#longestMs),
        ...shares,
        role,
        isLeading: isLeading(),
      },
      "the event loop was late",
    );
    this.#lineAtMs = atMs;
    this.#longestMs = 0;
  }
}

interface UsageShares {
  /** Processor time per time, in percent of one core. */
  readonly cpuPercent: number;
  /** Share of the time in which the event loop was not waiting, in percent. */
  readonly loopActivePercent: number;
}

function computeShares(
  before: ProcessUsageReading,
  after: ProcessUsageReading,
  fromMs: number,
  toMs: number,
): UsageShares {
  const toPercent = (partMs: number) =>
    Math.round(PERCENT * partMs / (toMs - fromMs));
  return {
    cpuPercent: toPercent(after.cpuMs - before.cpuMs),
    loopActivePercent: toPercent(after.loopActiveMs - before.loopActiveMs),
  };
}
