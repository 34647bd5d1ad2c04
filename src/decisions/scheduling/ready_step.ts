/** Lists the steps whose tasks may start now. */
import {
  type AdviceTerms,
  type Catalog,
  indexQueues,
  type JobQueue,
  type JobRecord,
  type JobStep,
  type JobTable,
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
}

/**
 * Lists the steps that are due, have waiting tasks and wait for no other step.
 *
 * @param jobs - All jobs.
 * @param catalog - The queues and the pools that run their tasks.
 * @param nowMs - Wall-clock time, in milliseconds.
 */
export function listReadySteps(
  jobs: JobTable,
  catalog: Catalog,
  nowMs: number,
): ReadyStep[] {
  const queues = indexQueues(catalog).byName;
  const ready: ReadyStep[] = [];
  for (const job of jobs.open) {
    addReadySteps(ready, job, queues.get(job.queue), nowMs);
  }
  return ready;
}

/**
 * Computes the estimated critical path from each step on.
 *
 * @param steps - The steps of a job.
 * @returns Duration of the longest chain of dependent steps that begins with
 * the step, by index of the step, in milliseconds.
 */
export function computeCriticalPaths(steps: readonly JobStep[]): number[] {
  const pathsMs = steps.map(({ estimateMs }) => estimateMs);
  for (let index = steps.length - 1; index >= 0; index -= 1) {
    for (const earlier of steps[index]?.dependsOn ?? []) {
      const own = steps[earlier]?.estimateMs ?? 0;
      pathsMs[earlier] = Math.max(
        pathsMs[earlier] ?? 0,
        own + (pathsMs[index] ?? 0),
      );
    }
  }
  return pathsMs;
}

function addReadySteps(
  ready: ReadyStep[],
  job: JobRecord,
  queue: JobQueue | undefined,
  nowMs: number,
): void {
  const pathsMs = findCriticalPaths(job);
  const longestMs = Math.max(0, ...pathsMs);
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
      const allowedMs = (queue?.stretch ?? 1) * longestMs;
      ready.push({
        job,
        occurrence,
        stepIndex,
        step,
        record,
        pool: queue?.pool ?? job.pool,
        priority: queue?.priority ?? 0,
        advice: queue?.advice,
        targetEndMs: dueMs + allowedMs + (queue?.targetLatencyMs ?? 0),
        criticalPathMs: pathsMs[stepIndex] ?? 0,
      });
    });
  });
}

const criticalPathsByJob = new WeakMap<JobRecord, readonly number[]>();

// Cached, because a job's steps never change and every plan needs the paths of
// all jobs that wait.
function findCriticalPaths(job: JobRecord): readonly number[] {
  const pathsMs = criticalPathsByJob.get(job) ??
    computeCriticalPaths(job.spec.steps);
  criticalPathsByJob.set(job, pathsMs);
  return pathsMs;
}
