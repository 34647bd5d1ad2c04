/** Explains automated actions by the labels, keys and limits that caused them. */
import { Result } from "true-myth";
import {
  createFailure,
  type DecisionRecord,
  type Failure,
} from "../domain/index.ts";
import type { Agreement } from "../ports/index.ts";
import type { DecisionRecorder } from "./decision_recorder.ts";
import type { CurrentState, StateDescriber } from "./explain/index.ts";
import type { RequestHistory } from "./requests/request_history.ts";

const MAX_EXPLAINED_RECORDS = 50;

/** Options of {@link ExplainService}. */
export interface ExplainServiceOptions {
  readonly agreement: Agreement;
  readonly recorder: DecisionRecorder;
  readonly history: RequestHistory;
  readonly states: StateDescriber;
}

/** Decisions that concern a subject, newest first. */
export interface Explanation {
  readonly subject: string;
  /** Outcome of the request; undefined for other subjects. */
  readonly summary: string | undefined;
  /** Current state of the subject; undefined for requests and decisions. */
  readonly present?: CurrentState | undefined;
  readonly records: readonly DecisionRecord[];
}

/** Finds decisions and the current state of a subject for operators. */
export class ExplainService {
  readonly #options: ExplainServiceOptions;

  constructor(options: ExplainServiceOptions) {
    this.#options = options;
  }

  /**
   * Explains a subject.
   *
   * @param subject - Such as `vm/NAME`, `request/ID` or `decision/ID`.
   * @param sinceMs - Wall-clock time in milliseconds; older records of a resource
   * are left out.
   * @returns The decisions, newest first, or `notFound`.
   */
  explain(subject: string, sinceMs = 0): Result<Explanation, Failure> {
    const [kind, name] = splitSubject(subject);
    switch (kind) {
      case "request":
        return this.#explainRequest(subject, name);
      case "decision":
        return this.#explainDecision(subject, name);
      default:
        return this.#explainResource(kind, name, sinceMs);
    }
  }

  #explainRequest(
    subject: string,
    requestId: string,
  ): Result<Explanation, Failure> {
    const note = this.#options.history.find(requestId);
    if (note === undefined) {
      return Result.err(
        createFailure(
          "notFound",
          `${subject} is not among the latest requests of this entry`,
          {
            remedy: "explain the decision id that came with the answer",
          },
        ),
      );
    }
    const record = this.#findRecord(note.decisionId);
    const records = record === undefined ? [] : [record];
    return Result.ok({ subject, summary: note.summary, records });
  }

  #explainDecision(
    subject: string,
    decisionId: string,
  ): Result<Explanation, Failure> {
    const record = this.#findRecord(decisionId);
    return record === undefined
      ? Result.err(
        createFailure("notFound", `${subject} is not in the audit trail`),
      )
      : Result.ok({ subject, summary: undefined, records: [record] });
  }

  #explainResource(
    kind: string,
    name: string,
    sinceMs: number,
  ): Result<Explanation, Failure> {
    const subject = `${kind}/${name}`;
    const present = this.#options.states.describe(kind, name);
    const records = this.#options.agreement.state.listRecords()
      .filter((record) =>
        record.subjects.includes(subject) && record.atMs >= sinceMs
      )
      .reverse()
      .slice(0, MAX_EXPLAINED_RECORDS);
    if (present === undefined && records.length === 0) {
      return Result.err(
        createFailure(
          "notFound",
          `${subject} does not exist and is not in the audit trail`,
          {
            remedy:
              "name a subject such as vm/NAME, pool/NAME, team/NAME, queue/NAME, zone/NAME, action/ID, request/ID or decision/ID",
          },
        ),
      );
    }
    return Result.ok({ subject, summary: undefined, present, records });
  }

  #findRecord(decisionId: string): DecisionRecord | undefined {
    const open = this.#options.recorder.findOpen(decisionId);
    return open ??
      this.#options.agreement.state.listRecords().find((record) =>
        record.decisionId === decisionId
      );
  }
}

function splitSubject(subject: string): [string, string] {
  const slash = subject.indexOf("/");
  return slash < 0
    ? [subject, ""]
    : [subject.slice(0, slash), subject.slice(slash + 1)];
}
