/** A fake of the runner port with leases, delayed requests and lost answers. */
import { Result } from "true-myth";
import type { Runner } from "../domain/index.ts";
import type {
  Clock,
  PollRequest,
  Random,
  RunName,
  RunnerAnswer,
  RunnerClient,
  RunnerFailure,
  RunnerReport,
  StartRequest,
} from "../ports/index.ts";
import {
  FakeRunnerIncarnation,
  type FakeRunnerIncarnationOptions,
  type RunSpan,
} from "./fake_runner_incarnation.ts";

const LATENCY_MS = 2;
const TIMEOUT_MS = 700;
const MIN_LATE_DELAY_MS = 2_000;
const LATE_DELAY_RANGE_MS = 10_000;
const POLL_STEP_MS = 10;

/** Options of {@link FakeRunners}. */
export interface FakeRunnersOptions {
  readonly clock: Clock;
  readonly random: Random;
  /**
   * Returns how long a task runs (ms) and how much CPU it uses (millicores).
   */
  readonly findWork: FakeRunnerIncarnationOptions["findWork"];
}

/** Runners with injectable faults. */
export class FakeRunners implements RunnerClient {
  /** Runs of all runners, in order of their start. */
  readonly spans: RunSpan[] = [];
  /** Share of requests that time out and are carried out later, in percent. */
  latePercent = 0;
  /** Share of requests that are carried out but get no answer, in percent. */
  lostPercent = 0;
  /** Ids of runners that no request reaches. */
  readonly cutIds = new Set<string>();
  readonly #options: FakeRunnersOptions;
  readonly #incarnations = new Map<string, FakeRunnerIncarnation>();

  constructor(options: FakeRunnersOptions) {
    this.#options = options;
  }

  /** Starts an incarnation of a runner and ends the previous one. */
  startIncarnation(runner: Runner): void {
    this.crash(runner.runnerId);
    const options = { ...this.#options, spans: this.spans };
    this.#incarnations.set(
      runner.runnerId,
      new FakeRunnerIncarnation(runner, options),
    );
  }

  /** Ends a runner; its runs in progress are lost. */
  crash(runnerId: string): void {
    this.#incarnations.get(runnerId)?.crash();
    this.#incarnations.delete(runnerId);
  }

  /** Ends all runs that are over by now, so that the spans are up to date. */
  advanceAll(): void {
    for (const incarnation of this.#incarnations.values()) {
      incarnation.advance();
    }
  }

  start(
    runner: Runner,
    request: StartRequest,
  ): Promise<Result<RunnerAnswer, RunnerFailure>> {
    return this.#send(runner, (incarnation) => incarnation.start(request));
  }

  stop(
    runner: Runner,
    run: RunName,
    fencingToken: number,
  ): Promise<Result<RunnerAnswer, RunnerFailure>> {
    return this.#send(
      runner,
      (incarnation) => incarnation.stop(run, fencingToken),
    );
  }

  pace(runner: Runner): Promise<Result<RunnerAnswer, RunnerFailure>> {
    return this.#send(
      runner,
      (incarnation) => Result.ok(incarnation.createAnswer()),
    );
  }

  async poll(
    runner: Runner,
    request: PollRequest,
  ): Promise<Result<RunnerReport, RunnerFailure>> {
    const timeoutMs = request.timeoutMs - request.waitMs;
    const first = await this.#send(
      runner,
      (incarnation) => incarnation.poll(request),
      timeoutMs,
    );
    const polledIncarnation = this.#incarnations.get(runner.runnerId);
    const deadlineMs = this.#nowMs + request.waitMs;
    let report = first;
    while (
      report.isOk && report.value.ended.length === 0 &&
      this.#nowMs < deadlineMs && !this.cutIds.has(runner.runnerId)
    ) {
      await this.#options.clock.sleep(POLL_STEP_MS);
      const incarnation = this.#incarnations.get(runner.runnerId);
      if (incarnation === undefined || incarnation !== polledIncarnation) {
        return Result.err({ message: "the connection was lost" });
      }
      incarnation.advance();
      report = Result.ok(incarnation.report());
    }
    return report;
  }

  disconnect(): void {}

  get #nowMs(): number {
    return this.#options.clock.monotonicMs();
  }

  async #send<T>(
    runner: Runner,
    carryOut: (incarnation: FakeRunnerIncarnation) => Result<T, RunnerFailure>,
    timeoutMs = TIMEOUT_MS,
  ): Promise<Result<T, RunnerFailure>> {
    const { clock, random } = this.#options;
    await clock.sleep(LATENCY_MS);
    const { runnerId } = runner;
    if (this.cutIds.has(runnerId)) {
      await clock.sleep(timeoutMs);
      return Result.err({ message: "no answer" });
    }
    if (random.nextInt(100) < this.latePercent) {
      const delayMs = MIN_LATE_DELAY_MS + random.nextInt(LATE_DELAY_RANGE_MS);
      const incarnation = this.#incarnations.get(runnerId);
      // A delayed request is lost when the incarnation that received it ends.
      void clock.sleep(delayMs).then(() => {
        if (this.#incarnations.get(runnerId) === incarnation) {
          this.#carryOut(runnerId, carryOut);
        }
      });
      await clock.sleep(timeoutMs);
      return Result.err({ message: "no answer, carried out late" });
    }
    const isLost = random.nextInt(100) < this.lostPercent;
    const result = this.#carryOut(runnerId, carryOut);
    if (result === undefined) {
      return Result.err({
        refusal: "notListening",
        message: "no process listens",
      });
    }
    await clock.sleep(isLost ? timeoutMs : LATENCY_MS);
    return isLost ? Result.err({ message: "no answer, carried out" }) : result;
  }

  #carryOut<T>(
    runnerId: string,
    carryOut: (incarnation: FakeRunnerIncarnation) => Result<T, RunnerFailure>,
  ): Result<T, RunnerFailure> | undefined {
    const incarnation = this.#incarnations.get(runnerId);
    if (incarnation === undefined) {
      return undefined;
    }
    incarnation.advance();
    return carryOut(incarnation);
  }
}
