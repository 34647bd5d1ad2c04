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
  FakeRunnerLife,
  type FakeRunnerLifeOptions,
  type RunSpan,
} from "./fake_runner_life.ts";

const LATENCY_MS = 2;
const TIMEOUT_MS = 700;
const LATE_FROM_MS = 2_000;
const LATE_SPREAD_MS = 10_000;
const LOOK_STEP_MS = 10;

/** Options of {@link FakeRunners}. */
export interface FakeRunnersOptions {
  readonly clock: Clock;
  readonly random: Random;
  /** Finds how long a task works, and what it holds. */
  readonly findWork: FakeRunnerLifeOptions["findWork"];
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
  readonly #lives = new Map<string, FakeRunnerLife>();

  constructor(options: FakeRunnersOptions) {
    this.#options = options;
  }

  /** Brings a runner up; an earlier lifetime under its id ends. */
  bringUp(runner: Runner): void {
    this.crash(runner.runnerId);
    const options = { ...this.#options, spans: this.spans };
    this.#lives.set(runner.runnerId, new FakeRunnerLife(runner, options));
  }

  /** Ends a runner at once; what runs there is lost. */
  crash(runnerId: string): void {
    this.#lives.get(runnerId)?.crash();
    this.#lives.delete(runnerId);
  }

  /** Lets time pass on all runners, so that the spans are complete. */
  advanceAll(): void {
    for (const life of this.#lives.values()) {
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
    return this.#send(runner, (life) => Result.ok(life.answer()));
  }

  async poll(
    runner: Runner,
    order: PollRequest,
  ): Promise<Result<RunnerReport, RunnerFailure>> {
    const timeoutMs = order.timeoutMs - order.waitMs;
    const first = await this.#send(
      runner,
      (life) => life.look(order),
      timeoutMs,
    );
    const asked = this.#lives.get(runner.runnerId);
    const deadlineMs = this.#nowMs + order.waitMs;
    let report = first;
    while (
      report.isOk && report.value.ended.length === 0 &&
      this.#nowMs < deadlineMs && !this.cutIds.has(runner.runnerId)
    ) {
      await this.#options.clock.sleep(LOOK_STEP_MS);
      const life = this.#lives.get(runner.runnerId);
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
    carryOut: (life: FakeRunnerLife) => Result<T, RunnerFailure>,
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
      const delayMs = LATE_FROM_MS + random.nextInt(LATE_SPREAD_MS);
      const life = this.#lives.get(runnerId);
      // An order that a runner holds back is lost with its lifetime.
      void clock.sleep(delayMs).then(() => {
        if (this.#lives.get(runnerId) === life) {
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
    carryOut: (life: FakeRunnerLife) => Result<T, RunnerFailure>,
  ): Result<T, RunnerFailure> | undefined {
    const life = this.#lives.get(runnerId);
    if (life === undefined) {
      return undefined;
    }
    life.advance();
    return carryOut(life);
  }
}
