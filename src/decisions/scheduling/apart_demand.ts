/** Counts the VMs that tasks need which stand apart from each other. */
import {
  type Catalog,
  findPoolOfJob,
  type JobRecord,
  type JobStep,
  type RunnerIncarnation,
} from "../../domain/index.ts";

/** Input of {@link countApartVms}. */
export interface ApartDemandInput {
  /** The jobs that have not ended. */
  readonly jobs: Iterable<JobRecord>;
  readonly catalog: Catalog;
  /** Number of VMs that await their maintenance, by pool. */
  readonly awaitingByPool: ReadonlyMap<string, number>;
  /** Returns whether any VM could run a task of a step. */
  readonly canRun: (step: JobStep) => boolean;
  /** Returns whether a runner gets no new work, as its VM is to be maintained. */
  readonly isCordoned: (runner: RunnerIncarnation) => boolean;
}

/**
 * Counts by pool the VMs, beside cordoned ones, without which a long-running task
 * would find none, however little the others use. Tasks of different steps share
 * VMs. While VMs of a pool await their maintenance, a step needs as many more as
 * its tasks may be unavailable at once, for those that move.
 *
 * @param input - The jobs, and what is known of the runners.
 */
export function countApartVms(
  { awaitingByPool, canRun, catalog, isCordoned, jobs }: ApartDemandInput,
): Map<string, number> {
  const counts = new Map<string, number>();
  for (const job of jobs) {
    const pool = findPoolOfJob(catalog, job);
    job.spec.steps.forEach((step, index) => {
      const { isEndless, maxAwayCount = 0, maxPerRunner } = step;
      if (!isEndless || maxPerRunner === 0 || !canRun(step)) {
        return;
      }
      const movingCount = Math.min(maxAwayCount, awaitingByPool.get(pool) ?? 0);
      for (const steps of job.occurrences) {
        const tasks = steps[index]?.tasks ?? [];
        const taskCount = tasks.filter(({ life, state }) =>
          state !== "done" && (life === undefined || !isCordoned(life))
        ).length;
        const vmCount = Math.ceil(taskCount / maxPerRunner) +
          (taskCount > 0 ? movingCount : 0);
        counts.set(pool, Math.max(vmCount, counts.get(pool) ?? 0));
      }
    });
  }
  return counts;
}
