/** Counts the VMs that tasks need which stand apart from each other. */
import {
  type Catalog,
  indexQueues,
  type JobRecord,
} from "../../domain/index.ts";

/**
 * Counts by pool the VMs without which a long-running task would find none,
 * however little the others use. Tasks of different steps share VMs.
 *
 * @param jobs - The jobs that have not ended.
 * @param catalog - The queues and their pools.
 * @param awaitingByPool - Number of VMs that await their maintenance. Each step
 * needs as many more as its tasks may be unavailable at once, for those that move.
 */
export function countApartVms(
  jobs: Iterable<JobRecord>,
  catalog: Catalog,
  awaitingByPool: ReadonlyMap<string, number>,
): Map<string, number> {
  const { byName } = indexQueues(catalog);
  const counts = new Map<string, number>();
  for (const job of jobs) {
    const pool = byName.get(job.queue)?.pool ?? job.pool;
    job.spec.steps.forEach((step, index) => {
      const { isEndless, maxAwayCount = 0, maxPerRunner } = step;
      if (!isEndless || maxPerRunner === 0) {
        return;
      }
      const movingCount = Math.min(maxAwayCount, awaitingByPool.get(pool) ?? 0);
      for (const steps of job.occurrences) {
        const tasks = steps[index]?.tasks ?? [];
        const taskCount = tasks.filter(({ state }) => state !== "done").length;
        const vmCount = Math.ceil(taskCount / maxPerRunner) +
          (taskCount > 0 ? movingCount : 0);
        counts.set(pool, Math.max(vmCount, counts.get(pool) ?? 0));
      }
    });
  }
  return counts;
}
