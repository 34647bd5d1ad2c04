/** A fake of the backend client port. */
import { Result } from "true-myth";
import { createFailure } from "../domain/index.ts";
import type {
  Attempt,
  AttemptAnswer,
  AttemptFailure,
  BackendClient,
  Clock,
} from "../ports/index.ts";

/**
 * Behaviour of a fake backend server for one attempt.
 *
 * - `answer`: runs the work and answers with status 200.
 * - `failedAnswer`: runs the work and answers with status 500.
 * - `notStarted`: refuses the attempt before the work starts.
 * - `outcomeUnknown`: runs the work, then the connection is lost.
 * - `noAnswer`: does not answer, and the connection is lost when the lease
 *   expires.
 * - `cutAnswer`: the answer breaks off in the middle of its body.
 */
export type BackendAct =
  | "answer"
  | "failedAnswer"
  | "notStarted"
  | "outcomeUnknown"
  | "noAnswer"
  | "cutAnswer";

/** An attempt and the behaviour that was applied to it. */
export interface RecordedAttempt {
  readonly attempt: Attempt;
  readonly act: BackendAct;
}

const CHUNK = new TextEncoder().encode("answer");

/** Answers each attempt with the behaviour that the test chooses. */
export class FakeBackendClient implements BackendClient {
  /** All attempts so far, in order. */
  readonly attempts: RecordedAttempt[] = [];
  /** Duration of the work, in milliseconds. */
  workMs = 10;
  /** Chooses the behaviour for an attempt. */
  chooseAct: (attempt: Attempt) => BackendAct = () => "answer";
  readonly #clock: Clock;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Number of attempts whose work ran or may have run. */
  get startedCount(): number {
    return this.attempts.filter(({ act }) => act !== "notStarted").length;
  }

  async send(
    attempt: Attempt,
  ): Promise<Result<AttemptAnswer, AttemptFailure>> {
    const act = this.chooseAct(attempt);
    this.attempts.push({ attempt, act });
    if (act === "notStarted") {
      return Result.err({
        failure: createFailure("noBackendServer", "refused before the start"),
        notStarted: true,
      });
    }
    await this.#clock.sleep(
      act === "noAnswer" ? attempt.leaseMs : this.workMs,
      attempt.signal,
    );
    if (
      act === "outcomeUnknown" || act === "noAnswer" || attempt.signal.aborted
    ) {
      return Result.err({
        failure: createFailure("outcomeUnknown", "the connection was lost"),
        notStarted: false,
      });
    }
    return Result.ok({
      status: act === "failedAnswer" ? 500 : 200,
      headers: {},
      body: createChunks(act),
    });
  }

  close(): Promise<void> {
    return Promise.resolve();
  }
}

async function* createChunks(act: BackendAct) {
  yield await Promise.resolve(CHUNK);
  if (act === "cutAnswer") {
    throw new Error("the answer was cut short");
  }
  yield CHUNK;
}
