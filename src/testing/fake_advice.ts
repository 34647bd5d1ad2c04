/** An advice service over its port: one question at a time, then tickets. */
import { Result } from "true-myth";
import { createFailure, type Failure } from "../domain/index.ts";
import type { Advice, AdviceClient, Clock, StepName } from "../ports/index.ts";

/** Options of {@link FakeAdvice}. */
export interface FakeAdviceOptions {
  readonly clock: Clock;
  readonly decisionMs: number;
  readonly perRunnerMs: number;
  readonly validMs: number;
  /** Tells whether a runner may run the steps. */
  readonly isApproved: (runnerId: string) => boolean;
}

/** Answers like the service, and counts what must not happen. */
export class FakeAdvice implements AdviceClient {
  /** Runners that each question named, in order. */
  readonly requests: (readonly string[])[] = [];
  /** Most questions that were open at once. */
  maxOpenCount = 0;
  /** Whether the service is away. */
  isUnavailable = false;
  readonly #options: FakeAdviceOptions;
  #openCount = 0;
  #ticketCount = 0;

  constructor(options: FakeAdviceOptions) {
    this.#options = options;
  }

  async requestAdvice(
    _step: StepName,
    runnerIds: readonly string[],
    timeoutMs: number,
  ): Promise<Result<Advice, Failure>> {
    const { clock, decisionMs, isApproved, perRunnerMs, validMs } =
      this.#options;
    this.requests.push(runnerIds);
    this.#openCount += 1;
    this.maxOpenCount = Math.max(this.maxOpenCount, this.#openCount);
    const tookMs = decisionMs + perRunnerMs * runnerIds.length;
    await clock.sleep(this.isUnavailable ? timeoutMs : tookMs);
    this.#openCount -= 1;
    if (this.isUnavailable || tookMs > timeoutMs) {
      return Result.err(createFailure("peerUnreachable", "no answer in time"));
    }
    const tickets = new Map(
      runnerIds.filter(isApproved).map((id) => [id, this.#createTicket(id)]),
    );
    return Result.ok({ tickets, validMs });
  }

  #createTicket(runnerId: string): string {
    this.#ticketCount += 1;
    return `${runnerId}/${this.#ticketCount}`;
  }
}
