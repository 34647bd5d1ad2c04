/** Measures the effect of log changes on jobs and runs. */
import { computeAllowedMs } from "../../decisions/index.ts";
import {
  type Catalog,
  findQueueLabel,
  findQueueOfJob,
  type JobRecord,
  type SchedulingOperation,
  type SchedulingState,
} from "../../domain/index.ts";
import type {
  JobLabels,
  JobPunctuality,
  Logger,
  SchedulingMetrics,
} from "../../ports/index.ts";

type EndedRun = Pick<
  Extract<SchedulingOperation, { type: "end" }>,
  "task" | "runNumber" | "how"
>;

/** Measures batches of changes that the leader proposes. */
export interface OperationMeter {
  /**
   * Reads the state that a batch is about to change.
   *
   * @param operations - The changes.
   * @param state - The state before them.
   * @param atMs - Wall-clock time of the batch (ms).
   * @returns A function that records the batch; call it once the batch is
   * applied.
   */
  begin(
    operations: readonly SchedulingOperation[],
    state: SchedulingState,
    atMs: number,
  ): () => void;
}

/** Records nothing; for processes that expose no metrics. */
export class NoopOperationMeter implements OperationMeter {
  begin(): () => void {
    return () => undefined;
  }
}

/** Options of {@link RecordingOperationMeter}. */
export interface RecordingOperationMeterOptions {
  /** Where measurements go. */
  readonly metrics: SchedulingMetrics;
  readonly logger: Logger;
}

/** Records the waits, runs and ends of jobs by team and queue. */
export class RecordingOperationMeter implements OperationMeter {
  readonly #metrics: SchedulingMetrics;
  readonly #logger: Logger;
  /** Time from acceptance to the first start of jobs that have started (ms). */
  readonly #startWaitMs = new WeakMap<JobRecord, number>();
  /** Jobs whose end is recorded; overlapping batches may both change a job. */
  readonly #ended = new WeakSet<JobRecord>();

  /** @param options - Where measurements and lines go. */
  constructor({ metrics, logger }: RecordingOperationMeterOptions) {
    this.#metrics = metrics;
    this.#logger = logger;
  }

  begin(
    operations: readonly SchedulingOperation[],
    state: SchedulingState,
    atMs: number,
  ): () => void {
    const waiting = new Set<JobRecord>();
    const open = new Set<JobRecord>();
    const runs: (() => void)[] = [];
    for (const operation of operations) {
      if (operation.type === "runnerGone") {
        const { running } = state.jobs.findLoad(operation);
        runs.push(
          ...[...running.values()].map((run) =>
            this.#measureRun(
              { ...run, task: run.id, how: "lost" },
              run.job,
              { catalog: state.catalog, atMs },
            )
          ),
        );
        continue;
      }
      const job = findJob(operation, state);
      if (job === undefined || job.outcome !== undefined) {
        continue;
      }
      open.add(job);
      if (operation.type === "start" && !job.hasStarted) {
        waiting.add(job);
      } else if (operation.type === "end") {
        const { catalog } = state;
        runs.push(this.#measureRun(operation, job, { catalog, atMs }));
      }
    }
    return () => {
      runs.forEach((record) => record());
      waiting.forEach((job) => this.#recordWait(job, state.catalog, atMs));
      open.forEach((job) => this.#recordEnd(job, state.catalog, atMs));
    };
  }

  #measureRun(
    { task: id, runNumber, how }: EndedRun,
    job: JobRecord,
    { atMs, catalog }: { readonly atMs: number; readonly catalog: Catalog },
  ): () => void {
    const task = job.findTask(id);
    if (task?.state !== "running" || task.runNumber !== runNumber) {
      return () => undefined;
    }
    const runMs = Math.max(0, atMs - task.changedAtMs);
    return () => this.#metrics.recordRun(findLabels(job, catalog), how, runMs);
  }

  #recordWait(job: JobRecord, catalog: Catalog, atMs: number): void {
    if (job.hasStarted && !this.#startWaitMs.has(job)) {
      const readyMs = Math.max(job.acceptedAtMs, job.findDueMs(0));
      const waitMs = Math.max(0, atMs - readyMs);
      this.#startWaitMs.set(job, waitMs);
      this.#metrics.recordWait(findLabels(job, catalog), waitMs);
    }
  }

  #recordEnd(job: JobRecord, catalog: Catalog, atMs: number): void {
    const { acceptedAtMs, outcome, requestedAtMs, spec: { jobId } } = job;
    if (outcome === undefined || this.#ended.has(job)) {
      return;
    }
    this.#ended.add(job);
    const labels = findLabels(job, catalog);
    const totalMs = Math.max(0, atMs - acceptedAtMs);
    this.#metrics.recordJob(labels, outcome, totalMs);
    if (outcome !== "completed" || job.spec.schedule !== undefined) {
      return;
    }
    const times = {
      waitedMs: acceptedAtMs - requestedAtMs,
      totalMs,
      allowedMs: computeAllowedMs(
        job.spec.steps,
        findQueueOfJob(catalog, job),
      ),
    };
    const punctuality = findPunctuality(times);
    this.#metrics.countPunctuality(labels, punctuality);
    const startWaitMs = this.#startWaitMs.get(job);
    this.#logger.info(
      { jobId, ...labels, punctuality, ...times, startWaitMs },
      "a job was completed",
    );
  }
}

interface JobTimes {
  /** Time from the arrival of the request to its acceptance (ms). */
  readonly waitedMs: number;
  /** Time from the acceptance to the end (ms). */
  readonly totalMs: number;
  /** Time from the request within which the job should end (ms). */
  readonly allowedMs: number;
}

function findPunctuality(
  { waitedMs, totalMs, allowedMs }: JobTimes,
): JobPunctuality {
  if (waitedMs + totalMs <= allowedMs) {
    return "inTime";
  }
  return totalMs <= allowedMs ? "lateByWait" : "late";
}

function findJob(
  operation: SchedulingOperation,
  { jobs }: SchedulingState,
): JobRecord | undefined {
  switch (operation.type) {
    case "start":
    case "end":
      return jobs.find(operation.task.jobId);
    case "cancel":
      return jobs.find(operation.jobId);
    default:
      return undefined;
  }
}

function findLabels(job: JobRecord, catalog: Catalog): JobLabels {
  return { team: job.team ?? "", queue: findQueueLabel(catalog, job) };
}
