/** Believing a report of the platform only when it stays. */
import type { Clock } from "../../ports/index.ts";

interface SeenReport {
  readonly report: string;
  readonly sinceMs: number;
}

/** Notes reports and tells how long they have stayed the same. */
export class ReportConfirmation {
  readonly #clock: Clock;
  readonly #seen = new Map<string, SeenReport>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Confirms a report that was alike in two looks, one after the other, so that
   * one wrong or late answer never moves a VM on.
   *
   * @param subject - The VM and what is asked about it.
   * @param report - What was reported, or undefined when it does not apply.
   * @returns True when the look before brought the same report.
   */
  confirm(subject: string, report: string | undefined): boolean {
    return this.#track(subject, report) !== undefined;
  }

  /**
   * Tells whether a report has stayed for a time.
   *
   * @param subject - The VM and what is asked about it.
   * @param report - What was reported, or undefined when it does not apply.
   * @param durationMs - How long it must have stayed, in milliseconds.
   * @returns True when every look since then brought the same report.
   */
  isUnchangedFor(
    subject: string,
    report: string | undefined,
    durationMs: number,
  ): boolean {
    const seen = this.#track(subject, report);
    return seen !== undefined &&
      this.#clock.monotonicMs() - seen.sinceMs >= durationMs;
  }

  /** Forgets all reports, as when another controller may have acted. */
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
    this.#seen.set(subject, { report, sinceMs: this.#clock.monotonicMs() });
    return undefined;
  }
}
