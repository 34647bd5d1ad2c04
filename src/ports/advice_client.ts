/** The service that knows which runners may run a step. */
import type { Result } from "true-myth";
import type { Failure } from "../domain/index.ts";

/** Names a step of one occurrence of a job. */
export interface StepName {
  readonly jobId: string;
  readonly occurrence: number;
  readonly step: number;
}

/** Which of the named runners may run a step. */
export interface Advice {
  /** Proofs by runner id, for the runners that may. */
  readonly tickets: ReadonlyMap<string, string>;
  /** How long the proofs hold, in milliseconds. */
  readonly validMs: number;
}

/** Asks the advice service; it answers one question of a process at a time. */
export interface AdviceClient {
  /**
   * Asks which runners may run a step.
   *
   * @param step - The step.
   * @param runnerIds - The runners, at most 100.
   * @param timeoutMs - Time for the answer (ms).
   */
  requestAdvice(
    step: StepName,
    runnerIds: readonly string[],
    timeoutMs: number,
  ): Promise<Result<Advice, Failure>>;
}
