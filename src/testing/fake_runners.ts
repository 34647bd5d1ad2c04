/** Runners over the runner port, with leases, late orders and lost answers. */
import { Result } from "true-myth";
import { formatTaskId, type RunEnd, type Runner } from "../domain/index.ts";
import type {
  Clock,
  EndReport,
  LookOrder,
  Random,
  RunName,
  RunnerAnswer,
  RunnerClient,
  RunnerFailure,
  RunnerReport,
  StartOrder,
} from "../ports/index.ts";

const LATENCY_MS = 2;
const TIMEOUT_MS = 700;
const MAX_LEASE_MS = 6_000;
const LATE_FROM_MS = 2_000;
const LATE_SPREAD_MS = 10_000;
const LOOK_STEP_MS = 10;

/** One run as it really was, for checks. */
export interface RunSpan {
  readonly runnerId: string;
  readonly task: string;
  readonly runNumber: number;
  readonly millicores: number;
  readonly fromMs: number;
  toMs: number;
  how: RunEnd | "runs";
  /** Whether the end was taken note of while its lease held. */
  isNoted: boolean;
}

interface Life {
  runner: Runner;
  readonly startedMs: number;
  fence: number;
  leaseUntilMs: number;
  readonly running: Map<
    string,
    { readonly span: RunSpan; readonly endsMs: number }
  >;
  readonly closed: Map<string, number>;
  ended: (EndReport & { readonly span: RunSpan })[];
  endCount: number;
}

/** Options of {@link FakeRunners}. */
export interface FakeRunnersOptions {
  readonly clock: Clock;
  readonly random: Random;
  /** Finds how long a task works (ms) and what it holds (millicores). */
  readonly findWork: (
    task: string,
  ) => { readonly workMs: number; readonly millicores: number };
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
  readonly #lives = new Map<string, Life>();

  constructor(options: FakeRunnersOptions) {
    this.#options = options;
  }

  /** Brings a runner up; an earlier lifetime under its id ends. */
  bringUp(runner: Runner): void {
    this.crash(runner.runnerId);
    this.#lives.set(runner.runnerId, {
      runner,
      startedMs: this.#nowMs,
      fence: 0,
      leaseUntilMs: 0,
      running: new Map(),
      closed: new Map(),
      ended: [],
      endCount: 0,
    });
  }

  /** Ends a runner at once; what runs there is lost. */
  crash(runnerId: string): void {
    const life = this.#lives.get(runnerId);
    if (life === undefined) {
      return;
    }
    this.#advance(life);
    for (const { span } of life.running.values()) {
      span.toMs = this.#nowMs;
      span.how = "lost";
    }
    this.#lives.delete(runnerId);
  }

  /** Lets time pass on all runners, so that the spans are complete. */
  advanceAll(): void {
    for (const life of this.#lives.values()) {
      this.#advance(life);
    }
  }

  start(
    runner: Runner,
    order: StartOrder,
  ): Promise<Result<RunnerAnswer, RunnerFailure>> {
    return this.#send(runner, (life) => this.#start(life, order));
  }

  stop(
    runner: Runner,
    run: RunName,
    fencingToken: number,
  ): Promise<Result<RunnerAnswer, RunnerFailure>> {
    return this.#send(runner, (life) => this.#stop(life, run, fencingToken));
  }

  pace(runner: Runner): Promise<Result<RunnerAnswer, RunnerFailure>> {
    return this.#send(runner, (life) => Result.ok(this.#answer(life)));
  }

  async look(
    runner: Runner,
    order: LookOrder,
  ): Promise<Result<RunnerReport, RunnerFailure>> {
    const first = await this.#send(runner, (life) => this.#look(life, order));
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
      this.#advance(life);
      report = Result.ok(this.#report(life));
    }
    return report;
  }

  forget(): void {}

  get #nowMs(): number {
    return this.#options.clock.monotonicMs();
  }

  async #send<T>(
    runner: Runner,
    carryOut: (life: Life) => Result<T, RunnerFailure>,
  ): Promise<Result<T, RunnerFailure>> {
    const { clock, random } = this.#options;
    await clock.sleep(LATENCY_MS);
    const { runnerId } = runner;
    if (this.cutIds.has(runnerId)) {
      await clock.sleep(TIMEOUT_MS);
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
      await clock.sleep(TIMEOUT_MS);
      return Result.err({ message: "no answer, carried out late" });
    }
    const isLost = random.nextInt(100) < this.lostPercent;
    const result = this.#carryOut(runnerId, carryOut);
    if (result === undefined) {
      return Result.err({ refusal: "notListening", message: "nobody listens" });
    }
    await clock.sleep(isLost ? TIMEOUT_MS : LATENCY_MS);
    return isLost ? Result.err({ message: "the answer was lost" }) : result;
  }

  #carryOut<T>(
    runnerId: string,
    carryOut: (life: Life) => Result<T, RunnerFailure>,
  ): Result<T, RunnerFailure> | undefined {
    const life = this.#lives.get(runnerId);
    if (life === undefined) {
      return undefined;
    }
    this.#advance(life);
    return carryOut(life);
  }

  #start(
    life: Life,
    order: StartOrder,
  ): Result<RunnerAnswer, RunnerFailure> {
    const task = formatTaskId(order.task);
    if (order.fencingToken < life.fence) {
      return this.#refuse(life, "staleFence");
    }
    life.fence = order.fencingToken;
    if (order.leaseUntilMs <= this.#clockOf(life)) {
      return this.#refuse(life, "leaseOver");
    }
    this.#extend(life, order.leaseUntilMs);
    if (life.running.get(task)?.span.runNumber === order.runNumber) {
      return Result.ok(this.#answer(life));
    }
    if (order.runNumber <= (life.closed.get(task) ?? 0)) {
      return this.#refuse(life, "outdatedRun");
    }
    const { workMs, millicores } = this.#options.findWork(task);
    const span: RunSpan = {
      runnerId: life.runner.runnerId,
      task,
      runNumber: order.runNumber,
      millicores,
      fromMs: this.#nowMs,
      toMs: Infinity,
      how: "runs",
      isNoted: false,
    };
    this.spans.push(span);
    life.running.set(task, { span, endsMs: this.#nowMs + workMs });
    return Result.ok(this.#answer(life));
  }

  #stop(
    life: Life,
    { task: id, runNumber }: RunName,
    fencingToken: number,
  ): Result<RunnerAnswer, RunnerFailure> {
    if (fencingToken < life.fence) {
      return this.#refuse(life, "staleFence");
    }
    life.fence = fencingToken;
    const task = formatTaskId(id);
    const run = life.running.get(task);
    if (run !== undefined && run.span.runNumber <= runNumber) {
      this.#end(life, task, "stopped", this.#nowMs);
    }
    const closed = Math.max(life.closed.get(task) ?? 0, runNumber);
    life.closed.set(task, closed);
    return Result.ok(this.#answer(life));
  }

  #look(life: Life, order: LookOrder): Result<RunnerReport, RunnerFailure> {
    if (order.fencingToken < life.fence) {
      return this.#refuse(life, "staleFence");
    }
    life.fence = order.fencingToken;
    for (const { position, span } of life.ended) {
      const isHeld = this.#clockOf(life) <= life.leaseUntilMs;
      span.isNoted ||= position <= order.forgetUpTo && isHeld;
    }
    life.ended = life.ended.filter(({ position }) =>
      position > order.forgetUpTo
    );
    if (order.leaseUntilMs !== undefined) {
      this.#extend(life, order.leaseUntilMs);
    }
    return Result.ok(this.#report(life));
  }

  #report(life: Life): RunnerReport {
    const running = [...life.running.values()].map(({ span }) => ({
      task: parseTask(span.task),
      runNumber: span.runNumber,
      saved: "",
      percent: 50,
      load: 0,
    }));
    const ended = life.ended.map(({ span: _span, ...report }) => report);
    return {
      ...this.#answer(life),
      bornAtMs: life.runner.bornAtMs,
      running,
      ended,
    };
  }

  // Ends what the time since the last call has ended, in its order.
  #advance(life: Life): void {
    const leaseEndMs = life.startedMs + life.leaseUntilMs;
    for (const [task, { endsMs }] of [...life.running]) {
      const atMs = Math.min(endsMs, leaseEndMs);
      if (atMs <= this.#nowMs) {
        this.#end(life, task, endsMs <= leaseEndMs ? "done" : "lapsed", atMs);
      }
    }
  }

  #end(life: Life, task: string, how: RunEnd, atMs: number): void {
    const run = life.running.get(task);
    if (run === undefined) {
      return;
    }
    const { span } = run;
    life.running.delete(task);
    life.closed.set(task, span.runNumber);
    span.toMs = atMs;
    span.how = how;
    life.endCount += 1;
    life.ended.push({
      position: life.endCount,
      task: parseTask(task),
      runNumber: span.runNumber,
      how,
      saved: "",
      span,
    });
  }

  #extend(life: Life, untilMs: number): void {
    const bounded = Math.min(untilMs, this.#clockOf(life) + MAX_LEASE_MS);
    life.leaseUntilMs = Math.max(life.leaseUntilMs, bounded);
  }

  #clockOf(life: Life): number {
    return this.#nowMs - life.startedMs;
  }

  #answer(life: Life): RunnerAnswer {
    return { clockMs: this.#clockOf(life) };
  }

  #refuse<T>(
    life: Life,
    refusal: NonNullable<RunnerFailure["refusal"]>,
  ): Result<T, RunnerFailure> {
    const clockMs = this.#clockOf(life);
    return Result.err({ refusal, clockMs, message: refusal });
  }
}

function parseTask(name: string): EndReport["task"] {
  const [jobId = "", occurrence, step, index] = name.split(".");
  return {
    jobId,
    occurrence: Number(occurrence),
    step: Number(step),
    index: Number(index),
  };
}
