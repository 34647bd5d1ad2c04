/** Confirms reports of the platform by comparing them with earlier ones. */
import type { Clock } from "../../ports/index.ts";

interface SeenReport {
  readonly report: string;
  readonly sinceMs: number;
}

/** Tracks reports and how long each has stayed the same. */
export class ReportConfirmation {
  readonly #clock: Clock;
  readonly #seen = new Map<string, SeenReport>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Confirms a report that two consecutive observations agree on. A single wrong
   * or late answer therefore never advances a VM.
   *
   * @param subject - The VM and the property that is checked.
   * @param report - The report, or undefined when it does not apply.
   * @returns True when the previous observation brought the same report.
   */
  confirm(subject: string, report: string | undefined): boolean {
    return this.#track(subject, report) !== undefined;
  }

  /**
   * Checks whether a report has stayed the same for a given time.
   *
   * @param subject - The VM and the property that is checked.
   * @param report - The report, or undefined when it does not apply.
   * @param durationMs - Required time without a change, in milliseconds.
   * @returns True when every observation in that time brought the same report.
   */
  isUnchangedFor(
    subject: string,
    report: string | undefined,
    durationMs: number,
  ): boolean {
    const seen = this.#track(subject, report);
    return seen !== undefined &&
      this.#clock.steadyMs() - seen.sinceMs >= durationMs;
  }

  /** Discards all reports; needed when another controller may have acted. */
  clear(): void {
    this.#seen.clear();
  }

  #track(subject: string, report: string | undefined): SeenReport | undefined {
    const before = this.#seen.get(subject);
    if (report === undefined) {
      this.#seen.delete(subject);
      return undefined;
    }
    if (before?.report === report) {
      return before;
    }
    this.#seen.set(subject, { report, sinceMs: this.#clock.steadyMs() });
    return undefined;
  }
}
