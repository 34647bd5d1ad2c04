/** Records once, for operators, which actions wait or are blocked and why. */
import type { Agreement, Clock } from "../../ports/index.ts";
import {
  type DecisionRecorder,
  type NewDecision,
  RECORD_WINDOW_MS,
} from "../decision_recorder.ts";

const MAX_CLOSED_COUNT = 10_000;

/**
 * An action that waits or is blocked, or another state that operators should
 * know about.
 */
export interface Notice extends Omit<NewDecision, "action"> {
  /** Identifies what the notice is about; each key has one open notice. */
  readonly key: string;
  /** The reason, in a form that changes only when the cause changes. */
  readonly reason: string;
  /** Action of the decision record; `hold` by default. */
  readonly action?: NewDecision["action"];
}

/** Options of {@link NoticeLog}. */
export interface NoticeLogOptions {
  readonly recorder: DecisionRecorder;
  readonly agreement: Agreement;
  readonly clock: Clock;
}

/** Records a notice when it is opened and when its reason changes. */
export class NoticeLog {
  readonly #options: NoticeLogOptions;
  readonly #open = new Map<string, string>();
  readonly #reported = new Set<string>();
  /** Monotonic time at which notices were closed (ms), by key. */
  readonly #closedAtMs = new Map<string, number>();

  constructor(options: NoticeLogOptions) {
    this.#options = options;
  }

  /**
   * Reports a notice. It is recorded unless it is already open with the same
   * reason.
   *
   * @param notice - The subject and the reason.
   */
  report(notice: Notice): void {
    const { key, reason, action = "hold", ...decision } = notice;
    this.#reported.add(key);
    if (this.#open.get(key) === reason) {
      return;
    }
    this.#open.set(key, reason);
    const isReopened = this.#wasClosed(key);
    this.#closedAtMs.delete(key);
    if (isReopened || !this.#isAlreadyRecorded(notice)) {
      this.#options.recorder.record({ ...decision, action });
    }
  }

  /** Closes the notices that were not reported since the last call. */
  closeUnreported(): void {
    const nowMs = this.#options.clock.monotonicMs();
    for (const key of this.#open.keys()) {
      if (!this.#reported.has(key)) {
        this.#open.delete(key);
        this.#closedAtMs.delete(key);
        this.#closedAtMs.set(key, nowMs);
      }
    }
    this.#reported.clear();
    this.#forgetOldest();
  }

  /**
   * Forgets all notices; needed after leadership was lost. Those that are still
   * open then are found in the records.
   */
  clear(): void {
    this.#open.clear();
    this.#reported.clear();
    this.#closedAtMs.clear();
  }

  // What is back after a moment counts as the same, as in the records.
  #wasClosed(key: string): boolean {
    const closedAtMs = this.#closedAtMs.get(key) ?? Infinity;
    return this.#options.clock.monotonicMs() - closedAtMs >= RECORD_WINDOW_MS;
  }

  #forgetOldest(): void {
    for (const key of this.#closedAtMs.keys()) {
      if (this.#closedAtMs.size <= MAX_CLOSED_COUNT) {
        return;
      }
      this.#closedAtMs.delete(key);
    }
  }

  // A controller that takes over must not record open notices a second time.
  #isAlreadyRecorded({ subjects, summary, action = "hold" }: Notice): boolean {
    const [subject = ""] = subjects;
    const latest = this.#options.agreement.state.listRecords().findLast((
      record,
    ) => record.subjects[0] === subject);
    return latest?.action === action && latest.summary === summary;
  }
}
