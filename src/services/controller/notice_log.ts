/** Records once, for operators, which actions wait or are blocked and why. */
import type { Agreement } from "../../ports/index.ts";
import type { DecisionRecorder, NewDecision } from "../decision_recorder.ts";

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

/** Records a notice when it is opened and when its reason changes. */
export class NoticeLog {
  readonly #recorder: DecisionRecorder;
  readonly #agreement: Agreement;
  #open = new Map<string, string>();
  #reported = new Set<string>();

  constructor(recorder: DecisionRecorder, agreement: Agreement) {
    this.#recorder = recorder;
    this.#agreement = agreement;
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
    if (!this.#isAlreadyRecorded(notice)) {
      this.#recorder.record({ ...decision, action });
    }
  }

  /** Closes the notices that were not reported since the last call. */
  closeUnreported(): void {
    const kept = [...this.#open].filter(([key]) => this.#reported.has(key));
    this.#open = new Map(kept);
    this.#reported = new Set();
  }

  // A controller that takes over must not record open notices a second time.
  #isAlreadyRecorded({ subjects, summary, action = "hold" }: Notice): boolean {
    const [subject = ""] = subjects;
    const latest = this.#agreement.state.listRecords().findLast((record) =>
      record.subjects[0] === subject
    );
    return latest?.action === action && latest.summary === summary;
  }
}
