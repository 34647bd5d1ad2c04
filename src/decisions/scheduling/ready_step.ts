/** Steps whose tasks may be started now. */
import type {
  AdviceTerms,
  Catalog,
  JobQueue,
  JobRecord,
  JobStep,
  JobTable,
  StepRecord,
} from "../../domain/index.ts";

/** Names a step of one occurrence of a job. */
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
  /** Pool whose runners may run it now. */
  readonly pool: string;
  readonly priority: number;
  /** Set where an advice service says which runners may run the step. */
  readonly advice: AdviceTerms | undefined;
  /** Wall-clock time by which the job is in time (ms). */
  readonly targetEndMs: number;
  /** Longest chain of work from this step on, by the estimates (ms). */
  readonly criticalPathMs: number;
}

/**
 * Lists the steps whose turn has come.
 *
 * @param jobs - All jobs.
 * @param catalog - Tells where each queue's tasks run now.
 * @param nowMs - Wall-clock time (ms).
 */
export function listReadySteps(
  jobs: JobTable,
  catalog: Catalog,
  nowMs: number,
): ReadyStep[] {
  const queues = new Map(catalog.queues.map((queue) => [queue.name, queue]));
  const ready: ReadyStep[] = [];
  for (const job of jobs.open) {
    addReadySteps(ready, job, queues.get(job.queue), nowMs);
  }
  return ready;
}

/**
 * Computes for each step the longest chain of estimates that begins with it.
 *
 * @param steps - The steps of a job.
 * @returns Durations by step, in milliseconds.
 */
export function computeCriticalPaths(steps: readonly JobStep[]): number[] {
  const pathsMs = steps.map(({ estimateMs }) => estimateMs);
  for (let at = steps.length - 1; at >= 0; at -= 1) {
    for (const earlier of steps[at]?.dependsOn ?? []) {
      const own = steps[earlier]?.estimateMs ?? 0;
      pathsMs[earlier] = Math.max(
        pathsMs[earlier] ?? 0,
        own + (pathsMs[at] ?? 0),
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

// A job's steps never change, and it is looked at many times while it waits.
function findCriticalPaths(job: JobRecord): readonly number[] {
  const pathsMs = criticalPathsByJob.get(job) ??
    computeCriticalPaths(job.spec.steps);
  criticalPathsByJob.set(job, pathsMs);
  return pathsMs;
}
