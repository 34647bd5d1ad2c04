/**
 * One incarnation of a fake runner: its runs, its leases and its ended runs.
 */
import { Result } from "true-myth";
import {
  DEFAULT_RUNNER_BOUNDS,
  formatTaskId,
  type RunEnd,
  type Runner,
} from "../domain/index.ts";
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

const PERCENT = 100;
const STILL_PERCENT = 3;

/** Record of one run as it took place; tests check invariants against it. */
export interface RunSpan {
  readonly runnerId: string;
  readonly task: string;
  readonly runNumber: number;
  readonly millicores: number;
  readonly fromMs: number;
  /** End time in milliseconds; `Infinity` while the run is in progress. */
  toMs: number;
  /** How the run ended; `runs` while it is in progress. */
  how: RunEnd | "runs";
  /** Whether an answer to a poll has listed the end. */
  isListed: boolean;
  /** Whether a poll acknowledged the end before the lease expired. */
  isAcknowledged: boolean;
}

/** Options of {@link FakeRunnerIncarnation}. */
export interface FakeRunnerIncarnationOptions {
  readonly clock: Clock;
  /** Receives a record of each run. */
  readonly spans: RunSpan[];
  /** Speed of its clock; below 1 for a slow one. */
  readonly clockRate: number;
  /** Longest lease that it grants (ms). */
  readonly maxLeaseMs?: number | undefined;
  /**
   * Returns how long a task runs (ms) and how much CPU it uses (millicores).
   */
  readonly findWork: (
    task: string,
  ) => { readonly workMs: number; readonly millicores: number };
  /** Returns how long a long-running task takes until it is at full work (ms). */
  readonly findStartupMs?: () => number;
  /** Returns how a run goes wrong there; undefined for one that goes well. */
  readonly findFault?: (
    runnerId: string,
    task: string,
  ) => FakeFault | undefined;
}

/** A run that fails after a time, takes longer, or makes no progress. */
export type FakeFault =
  | { readonly how: "failed" | "done"; readonly afterMs: number }
  | "still";

interface FakeRun {
  readonly span: RunSpan;
  readonly endsMs: number;
  readonly endsAs: "done" | "failed";
  readonly isStill: boolean;
}

interface EndedRun extends EndReport {
  readonly span: RunSpan;
  /** Whether the lease has expired since the end, which a new one keeps so. */
  hasLapsed: boolean;
}

/** Carries out requests by the rules of the platform's runners. */
export class FakeRunnerIncarnation {
  readonly runner: Runner;
  readonly #options: FakeRunnerIncarnationOptions;
  readonly #startedMs: number;
  readonly #running = new Map<string, FakeRun>();
  readonly #closedRunNumbers = new Map<string, number>();
  #fencingToken = 0;
  #leaseUntilMs = 0;
  #ended: EndedRun[] = [];
  #endCount = 0;

  constructor(runner: Runner, options: FakeRunnerIncarnationOptions) {
    this.runner = runner;
    this.#options = options;
    this.#startedMs = options.clock.monotonicMs();
  }

  get #nowMs(): number {
    return this.#options.clock.monotonicMs();
  }

  /** Ends the incarnation; its runs in progress are lost. */
  crash(): void {
    this.advance();
    for (const { span } of this.#running.values()) {
      span.toMs = this.#nowMs;
      span.how = "lost";
    }
    this.#running.clear();
  }

  /** Starts a run, or returns why the request was refused. */
  start(
    request: StartRequest,
  ): Result<RunnerAnswer, RunnerFailure> {
    const task = formatTaskId(request.task);
    if (request.fencingToken < this.#fencingToken) {
      return this.#refuse("staleFence");
    }
    this.#fencingToken = request.fencingToken;
    if (request.leaseUntilMs <= this.#clockMs) {
      return this.#refuse("leaseOver");
    }
    this.#extendLeases(request.leaseUntilMs);
    if (this.#running.get(task)?.span.runNumber === request.runNumber) {
      return Result.ok(this.createAnswer());
    }
    if (request.runNumber <= (this.#closedRunNumbers.get(task) ?? 0)) {
      return this.#refuse("outdatedRun");
    }
    const { workMs, millicores } = this.#options.findWork(task);
    const span: RunSpan = {
      runnerId: this.runner.runnerId,
      task,
      runNumber: request.runNumber,
      millicores,
      fromMs: this.#nowMs,
      toMs: Infinity,
      how: "runs",
      isListed: false,
      isAcknowledged: false,
    };
    this.#options.spans.push(span);
    const fault = this.#options.findFault?.(this.runner.runnerId, task);
    const isStill = fault === "still";
    const { how, afterMs } = fault === undefined || isStill
      ? { how: "done" as const, afterMs: isStill ? Infinity : workMs }
      : fault;
    this.#running.set(task, {
      span,
      endsMs: this.#nowMs + afterMs,
      endsAs: how,
      isStill,
    });
    return Result.ok(this.createAnswer());
  }

  /** Stops a run; the task can start again only under a higher run number. */
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

  /** Handles a poll: deletes acknowledged ends and may renew the leases. */
  poll(request: PollRequest): Result<RunnerReport, RunnerFailure> {
    if (request.fencingToken < this.#fencingToken) {
      return this.#refuse("staleFence");
    }
    this.#fencingToken = request.fencingToken;
    this.#noteLapse();
    for (const { position, span, hasLapsed } of this.#ended) {
      span.isAcknowledged ||= position <= request.ackPosition && !hasLapsed;
    }
    this.#ended = this.#ended.filter(({ position }) =>
      position > request.ackPosition
    );
    if (request.leaseUntilMs !== undefined) {
      this.#extendLeases(request.leaseUntilMs);
    }
    return Result.ok(this.report());
  }

  /** Lists the runs in progress and the ended runs. */
  report(): RunnerReport {
    const running = [...this.#running.values()].map((run) => ({
      task: parseTask(run.span.task),
      runNumber: run.span.runNumber,
      saved: "",
      percent: this.#findPercent(run),
      load: 0,
    }));
    const ended = this.#ended.map((
      { span, hasLapsed: _hasLapsed, ...report },
    ) => {
      span.isListed = true;
      return report;
    });
    return {
      ...this.createAnswer(),
      bornAtMs: this.runner.bornAtMs,
      running,
      ended,
    };
  }

  #findPercent({ endsMs, isStill, span: { fromMs } }: FakeRun): number {
    if (isStill) {
      return STILL_PERCENT;
    }
    const passedMs = this.#nowMs - fromMs;
    if (endsMs === Infinity) {
      const startupMs = this.#options.findStartupMs?.() ?? 0;
      return passedMs >= startupMs ? PERCENT : 0;
    }
    return Math.floor(PERCENT * passedMs / (endsMs - fromMs));
  }

  /** Ends the runs whose work is done or whose lease has expired by now. */
  advance(): void {
    const leaseEndMs = this.#startedMs +
      this.#leaseUntilMs / this.#options.clockRate;
    for (const [task, { endsAs, endsMs }] of [...this.#running]) {
      const atMs = Math.min(endsMs, leaseEndMs);
      if (atMs <= this.#nowMs) {
        this.#end(task, endsMs <= leaseEndMs ? endsAs : "lapsed", atMs);
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
      hasLapsed: false,
    });
  }

  #noteLapse(): void {
    if (this.#clockMs > this.#leaseUntilMs) {
      this.#ended.forEach((ended) => {
        ended.hasLapsed = true;
      });
    }
  }

  #extendLeases(untilMs: number): void {
    this.#noteLapse();
    const { maxLeaseMs = DEFAULT_RUNNER_BOUNDS.maxLeaseMs } = this.#options;
    const bounded = Math.min(untilMs, this.#clockMs + maxLeaseMs);
    this.#leaseUntilMs = Math.max(this.#leaseUntilMs, bounded);
  }

  get #clockMs(): number {
    return (this.#nowMs - this.#startedMs) * this.#options.clockRate;
  }

  /** Creates an answer with the current time on the runner's clock. */
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
