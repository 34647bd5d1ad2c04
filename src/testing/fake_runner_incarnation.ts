/** One lifetime of a fake runner: its runs, its leases, its list of ends. */
import { Result } from "true-myth";
import { formatTaskId, type RunEnd, type Runner } from "../domain/index.ts";
import type {
  Clock,
  EndReport,
  PollRequest,
  RunName,
  RunnerAnswer,
  RunnerFailure,
  RunnerReport,
  StartRequest,
} from "../ports/index.ts";

const MAX_LEASE_MS = 6_000;

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
  isAcknowledged: boolean;
}

/** Options of {@link FakeRunnerIncarnation}. */
export interface FakeRunnerIncarnationOptions {
  readonly clock: Clock;
  /** Collects the runs of all runners. */
  readonly spans: RunSpan[];
  /** Finds how long a task works (ms) and what it holds (millicores). */
  readonly findWork: (
    task: string,
  ) => { readonly workMs: number; readonly millicores: number };
}

interface FakeRun {
  readonly span: RunSpan;
  readonly endsMs: number;
}

/** Carries out orders by the platform's rules. */
export class FakeRunnerIncarnation {
  readonly runner: Runner;
  readonly #options: FakeRunnerIncarnationOptions;
  readonly #startedMs: number;
  readonly #running = new Map<string, FakeRun>();
  readonly #closedRunNumbers = new Map<string, number>();
  #fencingToken = 0;
  #leaseUntilMs = 0;
  #ended: (EndReport & { readonly span: RunSpan })[] = [];
  #endCount = 0;

  constructor(runner: Runner, options: FakeRunnerIncarnationOptions) {
    this.runner = runner;
    this.#options = options;
    this.#startedMs = options.clock.monotonicMs();
  }

  get #nowMs(): number {
    return this.#options.clock.monotonicMs();
  }

  /** Ends the lifetime; what runs is lost. */
  crash(): void {
    this.advance();
    for (const { span } of this.#running.values()) {
      span.toMs = this.#nowMs;
      span.how = "lost";
    }
    this.#running.clear();
  }

  /** Starts a run, or says why not. */
  start(
    order: StartRequest,
  ): Result<RunnerAnswer, RunnerFailure> {
    const task = formatTaskId(order.task);
    if (order.fencingToken < this.#fencingToken) {
      return this.#refuse("staleFence");
    }
    this.#fencingToken = order.fencingToken;
    if (order.leaseUntilMs <= this.#clockMs) {
      return this.#refuse("leaseOver");
    }
    this.#extendLeases(order.leaseUntilMs);
    if (this.#running.get(task)?.span.runNumber === order.runNumber) {
      return Result.ok(this.createAnswer());
    }
    if (order.runNumber <= (this.#closedRunNumbers.get(task) ?? 0)) {
      return this.#refuse("outdatedRun");
    }
    const { workMs, millicores } = this.#options.findWork(task);
    const span: RunSpan = {
      runnerId: this.runner.runnerId,
      task,
      runNumber: order.runNumber,
      millicores,
      fromMs: this.#nowMs,
      toMs: Infinity,
      how: "runs",
      isAcknowledged: false,
    };
    this.#options.spans.push(span);
    this.#running.set(task, { span, endsMs: this.#nowMs + workMs });
    return Result.ok(this.createAnswer());
  }

  /** Stops a run, and closes it for good. */
  stop(
    { task: id, runNumber }: RunName,
    fencingToken: number,
  ): Result<RunnerAnswer, RunnerFailure> {
    if (fencingToken < this.#fencingToken) {
      return this.#refuse("staleFence");
    }
    this.#fencingToken = fencingToken;
    const task = formatTaskId(id);
    const run = this.#running.get(task);
    if (run !== undefined && run.span.runNumber <= runNumber) {
      this.#end(task, "stopped", this.#nowMs);
    }
    const closed = Math.max(this.#closedRunNumbers.get(task) ?? 0, runNumber);
    this.#closedRunNumbers.set(task, closed);
    return Result.ok(this.createAnswer());
  }

  /** Answers a look, which may extend leases and forget ends. */
  poll(order: PollRequest): Result<RunnerReport, RunnerFailure> {
    if (order.fencingToken < this.#fencingToken) {
      return this.#refuse("staleFence");
    }
    this.#fencingToken = order.fencingToken;
    for (const { position, span } of this.#ended) {
      const isHeld = this.#clockMs <= this.#leaseUntilMs;
      span.isAcknowledged ||= position <= order.ackPosition && isHeld;
    }
    this.#ended = this.#ended.filter(({ position }) =>
      position > order.ackPosition
    );
    if (order.leaseUntilMs !== undefined) {
      this.#extendLeases(order.leaseUntilMs);
    }
    return Result.ok(this.report());
  }

  /** Lists what runs and what has ended. */
  report(): RunnerReport {
    const running = [...this.#running.values()].map(({ span, endsMs }) => ({
      task: parseTask(span.task),
      runNumber: span.runNumber,
      saved: "",
      // An endless task is at work at once; others are said to be half done.
      percent: endsMs === Infinity ? 100 : 50,
      load: 0,
    }));
    const ended = this.#ended.map(({ span: _span, ...report }) => report);
    return {
      ...this.createAnswer(),
      bornAtMs: this.runner.bornAtMs,
      running,
      ended,
    };
  }

  /** Ends what the time since the last call has ended. */
  advance(): void {
    const leaseEndMs = this.#startedMs + this.#leaseUntilMs;
    for (const [task, { endsMs }] of [...this.#running]) {
      const atMs = Math.min(endsMs, leaseEndMs);
      if (atMs <= this.#nowMs) {
        this.#end(task, endsMs <= leaseEndMs ? "done" : "lapsed", atMs);
      }
    }
  }

  #end(task: string, how: RunEnd, atMs: number): void {
    const run = this.#running.get(task);
    if (run === undefined) {
      return;
    }
    const { span } = run;
    this.#running.delete(task);
    this.#closedRunNumbers.set(task, span.runNumber);
    span.toMs = atMs;
    span.how = how;
    this.#endCount += 1;
    this.#ended.push({
      position: this.#endCount,
      task: parseTask(task),
      runNumber: span.runNumber,
      how,
      saved: "",
      span,
    });
  }

  #extendLeases(untilMs: number): void {
    const bounded = Math.min(untilMs, this.#clockMs + MAX_LEASE_MS);
    this.#leaseUntilMs = Math.max(this.#leaseUntilMs, bounded);
  }

  get #clockMs(): number {
    return this.#nowMs - this.#startedMs;
  }

  /** Reads the runner's clock. */
  createAnswer(): RunnerAnswer {
    return { clockMs: this.#clockMs };
  }

  #refuse<T>(
    refusal: NonNullable<RunnerFailure["refusal"]>,
  ): Result<T, RunnerFailure> {
    const clockMs = this.#clockMs;
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
