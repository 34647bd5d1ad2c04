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
  RunnerEndpoint,
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
/** Longest additional time of a slow answer, within the timeout (ms). */
const MAX_SLOW_MS = 650;
const PERCENT = 100;

/** Options of {@link FakeRunners}. */
export interface FakeRunnersOptions {
  readonly clock: Clock;
  readonly random: Random;
  /**
   * Returns how long a task runs (ms) and how much CPU it uses (millicores).
   */
  readonly findWork: FakeRunnerIncarnationOptions["findWork"];
  /** Most by which the runners' clocks are slow or fast, in percent. */
  readonly maxClockDriftPercent?: number;
  /** Longest lease that runners grant (ms); that of the settings by default. */
  readonly maxLeaseMs?: number | undefined;
}

/** Runners with injectable faults. */
export class FakeRunners implements RunnerClient {
  /** Runs of all runners, in order of their start. */
  readonly spans: RunSpan[] = [];
  /** Share of requests that time out and are carried out later, in percent. */
  latePercent = 0;
  /** Share of requests that are carried out but get no answer, in percent. */
  lostPercent = 0;
  /**
   * Share of requests whose way there and back takes long, in percent; requests
   * and answers then overtake each other.
   */
  slowPercent = 0;
  /** Ids of runners that refuse all starts, because they are unhealthy. */
  readonly unhealthyIds = new Set<string>();
  /** How long a long-running task takes until it is at full work (ms). */
  startupMs = 0;
  /** Returns how a run goes wrong on a runner; undefined for one that goes well. */
  findFault: NonNullable<FakeRunnerIncarnationOptions["findFault"]> = () =>
    undefined;
  /** How long the answer to a poll is on its way to the leader, in milliseconds. */
  pollAnswerDelayMs = 0;
  /** Ids of runners that no request reaches. */
  readonly cutIds = new Set<string>();
  /**
   * Ids of runners on VMs without power: connections stay open without an answer,
   * and requests on new ones arrive once the VM is back.
   */
  readonly darkIds = new Set<string>();
  readonly #options: FakeRunnersOptions;
  readonly #incarnations = new Map<string, FakeRunnerIncarnation>();
  /** The incarnation that gave the newest answer, by runner id. */
  readonly #answering = new Map<string, FakeRunnerIncarnation | undefined>();

  constructor(options: FakeRunnersOptions) {
    this.#options = options;
  }

  /** Starts an incarnation of a runner and ends the previous one. */
  startIncarnation(runner: Runner): void {
    this.crash(runner.runnerId);
    const clockRate = this.#chooseClockRate();
    const options = {
      ...this.#options,
      spans: this.spans,
      clockRate,
      findStartupMs: () => this.startupMs,
      findFault: (runnerId: string, task: string) =>
        this.findFault(runnerId, task),
    };
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
    return this.#send(
      runner,
      (incarnation) =>
        this.unhealthyIds.has(runner.runnerId)
          ? Result.err({ refusal: "unhealthy", message: "unhealthy" })
          : incarnation.start(request),
    );
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
    const timedOutMs = this.#nowMs + request.timeoutMs;
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
      if (this.darkIds.has(runner.runnerId)) {
        await this.#options.clock.sleep(timedOutMs - this.#nowMs);
        return Result.err({ message: "no answer" });
      }
      const incarnation = this.#incarnations.get(runner.runnerId);
      if (incarnation === undefined || incarnation !== polledIncarnation) {
        return Result.err({ message: "the connection was lost" });
      }
      incarnation.advance();
      report = Result.ok(incarnation.report());
    }
    if (report.isOk && this.cutIds.has(runner.runnerId)) {
      await this.#options.clock.sleep(timedOutMs - this.#nowMs);
      return Result.err({ message: "no answer" });
    }
    await this.#options.clock.sleep(this.pollAnswerDelayMs);
    return report;
  }

  disconnect(_runner: RunnerEndpoint): void {}

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
    const answering = this.#answering.get(runnerId);
    if (this.cutIds.has(runnerId)) {
      await clock.sleep(timeoutMs);
      return Result.err({
        isSameProcess: answering !== undefined,
        message: "no answer",
      });
    }
    if (this.darkIds.has(runnerId)) {
      void this.#carryOutAfterPowerLoss(runnerId, carryOut);
      await clock.sleep(timeoutMs);
      return Result.err({ isSameProcess: false, message: "no answer" });
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
      return Result.err({
        isSameProcess: incarnation === answering,
        message: "no answer, carried out late",
      });
    }
    const isLost = random.nextInt(100) < this.lostPercent;
    const slowMs = this.#chooseSlowMs();
    const thereMs = slowMs > 0 ? random.nextInt(slowMs) : 0;
    const incarnation = this.#incarnations.get(runnerId);
    if (thereMs > 0) {
      await clock.sleep(thereMs);
    }
    if (thereMs > 0 && incarnation !== this.#incarnations.get(runnerId)) {
      return Result.err({ message: "the connection was lost" });
    }
    const reached = this.#incarnations.get(runnerId);
    const result = this.#carryOut(runnerId, carryOut);
    if (result === undefined) {
      return Result.err({
        refusal: "notListening",
        message: "no process listens",
      });
    }
    const backMs = LATENCY_MS + slowMs - thereMs;
    await clock.sleep(isLost ? timeoutMs : backMs);
    if (isLost) {
      return Result.err({
        isSameProcess: reached === answering,
        message: "no answer, carried out",
      });
    }
    this.#answering.set(runnerId, reached);
    return result;
  }

  async #carryOutAfterPowerLoss<T>(
    runnerId: string,
    carryOut: (incarnation: FakeRunnerIncarnation) => Result<T, RunnerFailure>,
  ): Promise<void> {
    while (this.darkIds.has(runnerId)) {
      await this.#options.clock.sleep(POLL_STEP_MS);
    }
    this.#carryOut(runnerId, carryOut);
  }

  #chooseSlowMs(): number {
    const { random } = this.#options;
    const isSlow = this.slowPercent > 0 &&
      random.nextInt(PERCENT) < this.slowPercent;
    return isSlow ? random.nextInt(MAX_SLOW_MS) : 0;
  }

  #chooseClockRate(): number {
    const { maxClockDriftPercent: drift = 0, random } = this.#options;
    return drift === 0
      ? 1
      : 1 + (random.nextInt(2 * drift + 1) - drift) / PERCENT;
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
