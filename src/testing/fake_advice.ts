/** A fake of the advice service that answers after a configurable delay. */
import { Result } from "true-myth";
import { createFailure, type Failure } from "../domain/index.ts";
import type { Advice, AdviceClient, Clock, StepName } from "../ports/index.ts";

/** Options of {@link FakeAdvice}. */
export interface FakeAdviceOptions {
  readonly clock: Clock;
  /** Fixed part of the time that an answer takes, in milliseconds. */
  readonly decisionMs: number;
  /** Additional time for each runner of a request, in milliseconds. */
  readonly perRunnerMs: number;
  /** How long tickets are valid, in milliseconds. */
  readonly validMs: number;
  /** Returns whether a runner may run the steps. */
  readonly isApproved: (runnerId: string) => boolean;
}

/** Answers like the advice service and records the requests it receives. */
export class FakeAdvice implements AdviceClient {
  /** Runner ids of each request, in the order of arrival. */
  readonly requests: (readonly string[])[] = [];
  /** Step of each request, in the order of arrival. */
  readonly steps: StepName[] = [];
  /** Ids of jobs whose requests time out. */
  readonly failingJobIds = new Set<string>();
  /** Highest number of requests that were open at the same time. */
  maxOpenCount = 0;
  /** Whether requests time out because the service is unavailable. */
  isUnavailable = false;
  readonly #options: FakeAdviceOptions;
  #openCount = 0;
  #ticketCount = 0;

  constructor(options: FakeAdviceOptions) {
    this.#options = options;
  }

  async requestAdvice(
    step: StepName,
    runnerIds: readonly string[],
    timeoutMs: number,
  ): Promise<Result<Advice, Failure>> {
    const { clock, decisionMs, isApproved, perRunnerMs, validMs } =
      this.#options;
    this.requests.push(runnerIds);
    this.steps.push(step);
    const isUnavailable = this.isUnavailable ||
      this.failingJobIds.has(step.jobId);
    this.#openCount += 1;
    this.maxOpenCount = Math.max(this.maxOpenCount, this.#openCount);
    const tookMs = decisionMs + perRunnerMs * runnerIds.length;
    await clock.sleep(isUnavailable ? timeoutMs : tookMs);
    this.#openCount -= 1;
    if (isUnavailable || tookMs > timeoutMs) {
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
