/** A runner client in a process that can be paused. */
import type { Result } from "true-myth";
import type { Runner } from "../domain/index.ts";
import type {
  PollRequest,
  RunName,
  RunnerAnswer,
  RunnerClient,
  RunnerFailure,
  RunnerReport,
  StartRequest,
} from "../ports/index.ts";
import type { PausableClock } from "./pausable_clock.ts";

/** Hands over answers that arrive during a pause only after it. */
export class PausableRunnerClient implements RunnerClient {
  readonly #client: RunnerClient;
  readonly #clock: PausableClock;

  /**
   * Creates the client of a process.
   *
   * @param client - Sends the requests.
   * @param clock - Clock of the process, which is paused with it.
   */
  constructor(client: RunnerClient, clock: PausableClock) {
    this.#client = client;
    this.#clock = clock;
  }

  start(
    runner: Runner,
    request: StartRequest,
  ): Promise<Result<RunnerAnswer, RunnerFailure>> {
    return this.#receive(this.#client.start(runner, request));
  }

  stop(
    runner: Runner,
    run: RunName,
    fencingToken: number,
  ): Promise<Result<RunnerAnswer, RunnerFailure>> {
    return this.#receive(this.#client.stop(runner, run, fencingToken));
  }

  pace(
    runner: Runner,
    run: RunName & { readonly percent: number },
    fencingToken: number,
  ): Promise<Result<RunnerAnswer, RunnerFailure>> {
    return this.#receive(this.#client.pace(runner, run, fencingToken));
  }

  poll(
    runner: Runner,
    request: PollRequest,
  ): Promise<Result<RunnerReport, RunnerFailure>> {
    return this.#receive(this.#client.poll(runner, request));
  }

  disconnect(runner: Runner): void {
    this.#client.disconnect(runner);
  }

  async #receive<T>(answer: Promise<T>): Promise<T> {
    const received = await answer;
    await this.#clock.waitUntilResumed();
    return received;
  }
}
