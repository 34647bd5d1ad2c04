/** Ports for what the process has used and how late its event loop was. */

/** Cumulative usage of the process. */
export interface ProcessUsageReading {
  /** Processor time, in milliseconds. */
  readonly cpuMs: number;
  /** Time in which the event loop was not waiting for events (ms). */
  readonly loopActiveMs: number;
}

/** Reads the usage of the process. */
export interface ProcessUsage {
  read(): ProcessUsageReading;
}

/** Reads how late the event loop of the process was. */
export interface EventLoopDelays {
  /**
   * Returns the longest delay within the time from a monotonic time (ms) until
   * now, a timer that is overdue included; at most a few seconds back.
   */
  findLongestDelayMs(sinceMs: number): number;
}
