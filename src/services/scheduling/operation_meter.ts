/** Measures the effect of log changes on jobs and runs. */
import type {
  JobRecord,
  SchedulingOperation,
  SchedulingState,
} from "../../domain/index.ts";
import type { JobLabels, SchedulingMetrics } from "../../ports/index.ts";

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

/** Records the waits, runs and ends of jobs by team and queue. */
export class RecordingOperationMeter implements OperationMeter {
  readonly #metrics: SchedulingMetrics;
  /** Jobs whose first start is recorded. */
  readonly #started = new WeakSet<JobRecord>();
  /** Jobs whose end is recorded; overlapping batches may both change a job. */
  readonly #ended = new WeakSet<JobRecord>();

  /** @param metrics - Where measurements go. */
  constructor(metrics: SchedulingMetrics) {
    this.#metrics = metrics;
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
              atMs,
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
        runs.push(this.#measureRun(operation, job, atMs));
      }
    }
    return () => {
      runs.forEach((record) => record());
      waiting.forEach((job) => this.#recordWait(job, atMs));
      open.forEach((job) => this.#recordEnd(job, atMs));
    };
  }

  #measureRun(
    { task: id, runNumber, how }: EndedRun,
    job: JobRecord,
    atMs: number,
  ): () => void {
    const task = job.findTask(id);
    if (task?.state !== "running" || task.runNumber !== runNumber) {
      return () => undefined;
    }
    const runMs = Math.max(0, atMs - task.changedAtMs);
    return () => this.#metrics.recordRun(findLabels(job), how, runMs);
  }

  #recordWait(job: JobRecord, atMs: number): void {
    if (job.hasStarted && !this.#started.has(job)) {
      this.#started.add(job);
      const waitMs = Math.max(0, atMs - job.findDueMs(0));
      this.#metrics.recordWait(findLabels(job), waitMs);
    }
  }

  #recordEnd(job: JobRecord, atMs: number): void {
    if (job.outcome !== undefined && !this.#ended.has(job)) {
      this.#ended.add(job);
      const totalMs = Math.max(0, atMs - job.acceptedAtMs);
      this.#metrics.recordJob(findLabels(job), job.outcome, totalMs);
    }
  }
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

function findLabels({ team, queue }: JobRecord): JobLabels {
  return { team: team ?? "", queue };
}
