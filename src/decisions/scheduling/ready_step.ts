/** Lists the steps whose tasks may start now. */
import {
  type AdviceTerms,
  type Catalog,
  findQueueOfJob,
  type JobQueue,
  type JobRecord,
  type JobStep,
  type StepRecord,
} from "../../domain/index.ts";

/** Identifies a step of one occurrence of a job. */
export interface StepReference {
  readonly jobId: string;
  readonly occurrence: number;
  readonly step: number;
}

/** A step of one occurrence with tasks that wait for a runner. */
export interface ReadyStep {
  readonly job: JobRecord;
  readonly occurrence: number;
  readonly stepIndex: number;
  readonly step: JobStep;
  readonly record: StepRecord;
  /** Pool whose runners run the tasks of the job's queue now. */
  readonly pool: string;
  readonly priority: number;
  /** Set when an advice service approves the runners of the step. */
  readonly advice: AdviceTerms | undefined;
  /** Wall-clock time by which the occurrence should end, in milliseconds. */
  readonly targetEndMs: number;
  /**
   * Estimated critical path from this step on: the longest chain of dependent
   * steps that begins with it, in milliseconds.
   */
  readonly criticalPathMs: number;
  /** Number of steps on the critical path. */
  readonly criticalStepCount: number;
}

/** The longest chain of dependent steps that begins with a step. */
export interface CriticalPath {
  /** Estimated duration (ms). */
  readonly durationMs: number;
  readonly stepCount: number;
}

/**
 * Lists the steps that are due, have waiting tasks and wait for no other step.
 *
 * @param jobs - The jobs that have not ended.
 * @param catalog - The queues and the pools that run their tasks.
 * @param nowMs - Wall-clock time, in milliseconds.
 */
export function listReadySteps(
  jobs: { readonly open: Iterable<JobRecord> },
  catalog: Catalog,
  nowMs: number,
): ReadyStep[] {
  const ready: ReadyStep[] = [];
  for (const job of jobs.open) {
    addReadySteps(ready, job, findQueueOfJob(catalog, job), nowMs);
  }
  return ready;
}

/**
 * Computes the estimated critical path from each step on.
 *
 * @param steps - The steps of a job.
 * @returns The longest chain of dependent steps that begins with the step, by
 * index of the step.
 */
export function computeCriticalPaths(
  steps: readonly JobStep[],
): CriticalPath[] {
  const paths = steps.map(({ estimateMs }): CriticalPath => ({
    durationMs: estimateMs,
    stepCount: 1,
  }));
  for (let index = steps.length - 1; index >= 0; index -= 1) {
    const later = paths[index] ?? NO_PATH;
    for (const earlier of steps[index]?.dependsOn ?? []) {
      const durationMs = (steps[earlier]?.estimateMs ?? 0) + later.durationMs;
      if (durationMs > (paths[earlier]?.durationMs ?? 0)) {
        paths[earlier] = { durationMs, stepCount: 1 + later.stepCount };
      }
    }
  }
  return paths;
}

/**
 * Computes the time in which a job should end.
 *
 * @param steps - The steps of the job.
 * @param queue - Its queue; undefined if the catalog no longer has it.
 * @returns Time from the request to the target end (ms).
 */
export function computeAllowedMs(
  steps: readonly JobStep[],
  queue: JobQueue | undefined,
): number {
  return computeTargetMs(computeCriticalPaths(steps), queue);
}

function computeTargetMs(
  paths: readonly CriticalPath[],
  queue: JobQueue | undefined,
): number {
  const longestMs = Math.max(0, ...paths.map(({ durationMs }) => durationMs));
  return (queue?.stretch ?? 1) * longestMs + (queue?.targetLatencyMs ?? 0);
}

const NO_PATH: CriticalPath = { durationMs: 0, stepCount: 0 };

function addReadySteps(
  ready: ReadyStep[],
  job: JobRecord,
  queue: JobQueue | undefined,
  nowMs: number,
): void {
  const paths = findCriticalPaths(job);
  const allowedMs = computeTargetMs(paths, queue);
  job.occurrences.forEach((records, occurrence) => {
    const dueMs = job.findDueMs(occurrence);
    if (dueMs > nowMs) {
      return;
    }
    records.forEach((record, stepIndex) => {
      const step = job.spec.steps[stepIndex];
      const isReady = step !== undefined && record.waitingCount > 0 &&
        job.isUnblocked(occurrence, stepIndex);
      if (!isReady) {
        return;
      }
      const path = paths[stepIndex] ?? NO_PATH;
      ready.push({
        job,
        occurrence,
        stepIndex,
        step,
        record,
        pool: queue?.pool ?? job.pool,
        priority: queue?.priority ?? 0,
        advice: queue?.advice,
        targetEndMs: dueMs + allowedMs,
        criticalPathMs: path.durationMs,
        criticalStepCount: path.stepCount,
      });
    });
  });
}

const criticalPathsByJob = new WeakMap<JobRecord, readonly CriticalPath[]>();

// Cached, because a job's steps never change and every plan needs the paths of
// all jobs that wait.
function findCriticalPaths(job: JobRecord): readonly CriticalPath[] {
  const paths = criticalPathsByJob.get(job) ??
    computeCriticalPaths(job.spec.steps);
  criticalPathsByJob.set(job, paths);
  return paths;
}
