/** Tells operators once what is held back and why. */
import type { Agreement } from "../../ports/index.ts";
import type { DecisionRecorder, NewDecision } from "../decision_recorder.ts";

/** An action that waits, or a state that operators should know. */
export interface Notice extends Omit<NewDecision, "action"> {
  /** What waits; one hold at a time is open for it. */
  readonly key: string;
  /** Why, in a form that stays equal while the cause does. */
  readonly reason: string;
  readonly action?: NewDecision["action"];
}

/** Records a hold when it begins or when its reason changes. */
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
   * Notes that something is held.
   *
   * @param notice - What, and why.
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

  /** Ends the holds that were not noted since the last call. */
  closeUnreported(): void {
    const kept = [...this.#open].filter(([key]) => this.#reported.has(key));
    this.#open = new Map(kept);
    this.#reported = new Set();
  }

  // A controller that takes over must not tell everything a second time.
  #isAlreadyRecorded({ subjects, summary, action = "hold" }: Notice): boolean {
    const [subject = ""] = subjects;
    const latest = this.#agreement.state.listRecords().findLast((record) =>
      record.subjects[0] === subject
    );
    return latest?.action === action && latest.summary === summary;
  }
}
