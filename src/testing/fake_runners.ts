/** Runners over the runner port, with leases, late orders and lost answers. */
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
  /** Finds how long a task works, and what it holds. */
  readonly findWork: FakeRunnerIncarnationOptions["findWork"];
}

/** Runners whose faults a test sets. */
export class FakeRunners implements RunnerClient {
  readonly spans: RunSpan[] = [];
  /** Share of orders without an answer that are carried out late, in percent. */
  latePercent = 0;
  /** Share of orders that are carried out but get no answer, in percent. */
  lostPercent = 0;
  readonly cutIds = new Set<string>();
  readonly #options: FakeRunnersOptions;
  readonly #incarnations = new Map<string, FakeRunnerIncarnation>();

  constructor(options: FakeRunnersOptions) {
    this.#options = options;
  }

  /** Brings a runner up; an earlier lifetime under its id ends. */
  startIncarnation(runner: Runner): void {
    this.crash(runner.runnerId);
    const options = { ...this.#options, spans: this.spans };
    this.#incarnations.set(
      runner.runnerId,
      new FakeRunnerIncarnation(runner, options),
    );
  }

  /** Ends a runner at once; what runs there is lost. */
  crash(runnerId: string): void {
    this.#incarnations.get(runnerId)?.crash();
    this.#incarnations.delete(runnerId);
  }

  /** Lets time pass on all runners, so that the spans are complete. */
  advanceAll(): void {
    for (const life of this.#incarnations.values()) {
      life.advance();
    }
  }

  start(
    runner: Runner,
    order: StartRequest,
  ): Promise<Result<RunnerAnswer, RunnerFailure>> {
    return this.#send(runner, (life) => life.start(order));
  }

  stop(
    runner: Runner,
    run: RunName,
    fencingToken: number,
  ): Promise<Result<RunnerAnswer, RunnerFailure>> {
    return this.#send(runner, (life) => life.stop(run, fencingToken));
  }

  pace(runner: Runner): Promise<Result<RunnerAnswer, RunnerFailure>> {
    return this.#send(runner, (life) => Result.ok(life.createAnswer()));
  }

  async poll(
    runner: Runner,
    order: PollRequest,
  ): Promise<Result<RunnerReport, RunnerFailure>> {
    const timeoutMs = order.timeoutMs - order.waitMs;
    const first = await this.#send(
      runner,
      (life) => life.poll(order),
      timeoutMs,
    );
    const asked = this.#incarnations.get(runner.runnerId);
    const deadlineMs = this.#nowMs + order.waitMs;
    let report = first;
    while (
      report.isOk && report.value.ended.length === 0 &&
      this.#nowMs < deadlineMs && !this.cutIds.has(runner.runnerId)
    ) {
      await this.#options.clock.sleep(POLL_STEP_MS);
      const life = this.#incarnations.get(runner.runnerId);
      if (life === undefined || life !== asked) {
        return Result.err({ message: "the connection broke" });
      }
      life.advance();
      report = Result.ok(life.report());
    }
    return report;
  }

  disconnect(): void {}

  get #nowMs(): number {
    return this.#options.clock.monotonicMs();
  }

  async #send<T>(
    runner: Runner,
    carryOut: (life: FakeRunnerIncarnation) => Result<T, RunnerFailure>,
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
      const life = this.#incarnations.get(runnerId);
      // An order that a runner holds back is lost with its lifetime.
      void clock.sleep(delayMs).then(() => {
        if (this.#incarnations.get(runnerId) === life) {
          this.#carryOut(runnerId, carryOut);
        }
      });
      await clock.sleep(timeoutMs);
      return Result.err({ message: "no answer, carried out late" });
    }
    const isLost = random.nextInt(100) < this.lostPercent;
    const result = this.#carryOut(runnerId, carryOut);
    if (result === undefined) {
      return Result.err({ refusal: "notListening", message: "nobody listens" });
    }
    await clock.sleep(isLost ? timeoutMs : LATENCY_MS);
    return isLost ? Result.err({ message: "the answer was lost" }) : result;
  }

  #carryOut<T>(
    runnerId: string,
    carryOut: (life: FakeRunnerIncarnation) => Result<T, RunnerFailure>,
  ): Result<T, RunnerFailure> | undefined {
    const life = this.#incarnations.get(runnerId);
    if (life === undefined) {
      return undefined;
    }
    life.advance();
    return carryOut(life);
  }
}
