/** Port to the advice service, which decides which runners may run a step. */
import type { Result } from "true-myth";
import type { Failure } from "../domain/index.ts";

/** Identifies a step of one occurrence of a job. */
export interface StepName {
  readonly jobId: string;
  readonly occurrence: number;
  readonly step: number;
}

/**
 * Answer of the advice service: which of the requested runners may run a step.
 */
export interface Advice {
  /** Tickets by runner id; runners that may not run the step have none. */
  readonly tickets: ReadonlyMap<string, string>;
  /** How long the tickets are valid, in milliseconds. */
  readonly validMs: number;
}

/**
 * Client of the advice service, which handles one request of a process at a
 * time.
 */
export interface AdviceClient {
  /**
   * Requests which runners may run a step.
   *
   * @param step - The step.
   * @param runnerIds - The runners to check, at most 100.
   * @param timeoutMs - How long to wait for the answer (ms).
   * @returns The tickets, or why there is no answer.
   */
  requestAdvice(
    step: StepName,
    runnerIds: readonly string[],
    timeoutMs: number,
  ): Promise<Result<Advice, Failure>>;
}
