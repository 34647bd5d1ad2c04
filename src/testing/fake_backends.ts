/** Fake backend servers behind the backend client port. */
import { Result } from "true-myth";
import { createFailure } from "../domain/index.ts";
import type {
  Attempt,
  AttemptAnswer,
  AttemptFailure,
  BackendClient,
  Clock,
} from "../ports/index.ts";

/** What a fake backend server does with an attempt. */
export type BackendAct =
  | "answer"
  | "failedAnswer"
  | "notStarted"
  | "outcomeUnknown"
  | "noAnswer"
  | "cutAnswer";

/** An attempt with what was done with it. */
export interface RecordedAttempt {
  readonly attempt: Attempt;
  readonly act: BackendAct;
}

const CHUNK = new TextEncoder().encode("answer");

/** Does with each attempt what the test chooses. */
export class FakeBackendClient implements BackendClient {
  readonly attempts: RecordedAttempt[] = [];
  /** Time that work takes, in milliseconds. */
  workMs = 10;
  /** Chooses what is done with an attempt. */
  chooseAct: (attempt: Attempt) => BackendAct = () => "answer";
  readonly #clock: Clock;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Attempts that ran, or may have run. */
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
