/** What the ends of runs tell about the runners on which they ran. */
import * as v from "valibot";
import { formatTaskId, type TaskId } from "./job.ts";
import type { RunnerIncarnation } from "./runner.ts";

/** Number of different jobs whose failures make a runner doubtful. */
const DOUBTFUL_JOB_COUNT = 2;
/** Number of tasks of one job whose failures make a runner doubtful. */
const DOUBTFUL_TASK_COUNT = 3;
/**
 * Most failures that are kept of one runner. Each needs a later run that ends
 * well, so this limits how long a runner that has recovered stays doubtful.
 */
const MAX_KEPT_FAILURES = DOUBTFUL_TASK_COUNT;
/** Time after the newest failure of a runner until it is forgotten (ms). */
export const EVIDENCE_KEEP_MS = 60_000;

/** Schema of {@link RunnerEvidenceRecord}. */
export const runnerEvidenceSchema = v.object({
  runnerId: v.string(),
  bornAtMs: v.number(),
  /**
   * Failures of different tasks that no later run has made up for, the oldest
   * first, with the wall-clock times at which the run started and failed (ms).
   */
  failures: v.array(v.object({
    jobId: v.string(),
    /** Formatted task id. */
    task: v.string(),
    startedAtMs: v.number(),
    atMs: v.number(),
  })),
  /** Wall-clock time of the newest failure (ms). */
  lastFailedAtMs: v.number(),
  /** Wall-clock time since when it is doubtful (ms); absent when it is not. */
  doubtfulSinceMs: v.optional(v.number()),
  /** Number of runs in a row that began since then and failed. */
  failedProbeCount: v.number(),
});

/** What speaks against one runner incarnation. */
export type RunnerEvidenceRecord = v.InferOutput<typeof runnerEvidenceSchema>;

/** A run that failed, for {@link RunnerEvidence.recordFailure}. */
export interface FailedRun {
  readonly task: TaskId;
  readonly life: RunnerIncarnation;
  /** Ids of the runners on which the task failed before. */
  readonly failedBeforeOn: readonly string[];
  /** Wall-clock time at which the run started (ms). */
  readonly startedAtMs: number;
  /** Wall-clock time at which its end was recorded (ms). */
  readonly atMs: number;
}

/**
 * Evidence by runner over jobs and by task over runners. All times are those of
 * the entries of the log, so that every voter has the same evidence.
 */
export class RunnerEvidence {
  /** By runner id, the newest incarnation, in the order of the failures. */
  readonly #records = new Map<string, RunnerEvidenceRecord>();

  /** Finds what speaks against a runner incarnation; undefined for nothing. */
  find(
    { runnerId, bornAtMs }: RunnerIncarnation,
  ): RunnerEvidenceRecord | undefined {
    const record = this.#records.get(runnerId);
    return record?.bornAtMs === bornAtMs ? record : undefined;
  }

  /** Lists what speaks against runners, the oldest failure first. */
  list(): readonly RunnerEvidenceRecord[] {
    return [...this.#records.values()];
  }

  /**
   * Records a run that failed. It speaks against the work, and no longer against
   * the runners of its earlier runs, when the task has failed on another runner
   * before and other jobs make neither runner doubtful; otherwise against its
   * runner.
   *
   * @param run - The run.
   */
  recordFailure(run: FailedRun): void {
    const { failedBeforeOn, life, task: { jobId } } = run;
    const mayBeSound = (runnerId: string) =>
      countOtherJobs(this.#records.get(runnerId), jobId) < DOUBTFUL_JOB_COUNT;
    const soundBefore = failedBeforeOn.filter((runnerId) =>
      runnerId !== life.runnerId && mayBeSound(runnerId)
    );
    if (soundBefore.length > 0 && mayBeSound(life.runnerId)) {
      soundBefore.forEach((runnerId) => this.#forgive(runnerId, jobId));
      return;
    }
    const known = this.#records.get(life.runnerId);
    if (known !== undefined && known.bornAtMs > life.bornAtMs) {
      return;
    }
    this.#addFailure(this.find(life), run);
  }

  /**
   * Records a run that ended well. It makes up for one failure of a run that did
   * not begin later.
   *
   * @param life - The runner incarnation.
   * @param startedAtMs - Wall-clock time at which the run started (ms).
   */
  recordDone(life: RunnerIncarnation, startedAtMs: number): void {
    const record = this.find(life);
    const at =
      record?.failures.findIndex((failure) =>
        failure.startedAtMs <= startedAtMs
      ) ?? -1;
    if (record !== undefined && at >= 0) {
      this.#put({
        ...record,
        failures: record.failures.toSpliced(at, 1),
        failedProbeCount: 0,
      });
    }
  }

  /**
   * Forgets the runners whose newest failure was longer ago than
   * {@link EVIDENCE_KEEP_MS}.
   *
   * @param nowMs - Wall-clock time, in milliseconds.
   */
  prune(nowMs: number): void {
    for (const { runnerId, lastFailedAtMs } of this.#records.values()) {
      // The wall clock of an earlier leader may have been far ahead.
      if (Math.abs(nowMs - lastFailedAtMs) <= EVIDENCE_KEEP_MS) {
        return;
      }
      this.#records.delete(runnerId);
    }
  }

  /** Restores the records of a snapshot. */
  restore(records: readonly RunnerEvidenceRecord[]): void {
    records.forEach((record) => this.#records.set(record.runnerId, record));
  }

  #addFailure(
    known: RunnerEvidenceRecord | undefined,
    { atMs, life, startedAtMs, task: id }: FailedRun,
  ): void {
    const { runnerId, bornAtMs } = life;
    const { jobId } = id;
    const task = formatTaskId(id);
    const others = known?.failures.filter((other) => other.task !== task) ??
      [];
    const isProbe = startedAtMs >= (known?.doubtfulSinceMs ?? Infinity);
    this.#records.delete(runnerId);
    this.#put({
      runnerId,
      bornAtMs,
      failures: dropOldest([...others, { jobId, task, startedAtMs, atMs }]),
      lastFailedAtMs: atMs,
      doubtfulSinceMs: known?.doubtfulSinceMs,
      failedProbeCount: (known?.failedProbeCount ?? 0) + Number(isProbe),
    });
  }

  #forgive(runnerId: string, jobId: string): void {
    const record = this.#records.get(runnerId);
    if (record !== undefined) {
      const failures = record.failures.filter((other) => other.jobId !== jobId);
      this.#put({ ...record, failures });
    }
  }

  #put(record: RunnerEvidenceRecord): void {
    const { doubtfulSinceMs, failures, lastFailedAtMs, runnerId } = record;
    if (failures.length === 0) {
      this.#records.delete(runnerId);
      return;
    }
    const isDoubtful = failures.length >= DOUBTFUL_TASK_COUNT ||
      new Set(failures.map(({ jobId }) => jobId)).size >= DOUBTFUL_JOB_COUNT;
    this.#records.set(runnerId, {
      ...record,
      doubtfulSinceMs: isDoubtful
        ? doubtfulSinceMs ?? lastFailedAtMs
        : undefined,
      failedProbeCount: isDoubtful ? record.failedProbeCount : 0,
    });
  }
}

// A runner that fails several other jobs would fail any job, so a failure there
// tells nothing about this one.
function countOtherJobs(
  record: RunnerEvidenceRecord | undefined,
  jobId: string,
): number {
  const jobs = new Set(record?.failures.map((failure) => failure.jobId));
  jobs.delete(jobId);
  return jobs.size;
}

/** Keeps the newest failures, of as many jobs as possible. */
function dropOldest(
  failures: RunnerEvidenceRecord["failures"],
): RunnerEvidenceRecord["failures"] {
  if (failures.length <= MAX_KEPT_FAILURES) {
    return failures;
  }
  const at = failures.findIndex(({ jobId }, index) =>
    failures.some((other, later) => later > index && other.jobId === jobId)
  );
  return failures.toSpliced(Math.max(0, at), 1);
}
