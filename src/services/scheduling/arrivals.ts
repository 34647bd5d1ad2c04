/** The work that arrives for each pool, as the log shows it. */
import { type Arrival, measureHeldUp, sumWork } from "../../decisions/index.ts";
import { findPoolOfJob, type SchedulingState } from "../../domain/index.ts";
import { ARRIVAL_WINDOW_MS, MIN_ARRIVALS } from "./timing.ts";

/**
 * Lists the work of all jobs in the log.
 *
 * @param state - The scheduling state.
 */
export function listArrivals(state: SchedulingState): Arrival[] {
  return state.jobs.list().map((job) => ({
    pool: findPoolOfJob(state.catalog, job),
    atMs: job.acceptedAtMs,
    work: sumWork(job),
  }));
}

/**
 * Averages the work that has arrived of late. What arrives after a time without
 * any job has waited for it, so that time counts as well.
 *
 * @param arrivals - The arrivals.
 * @param nowMs - Wall-clock time (ms).
 * @returns Millicores by pool; pools with few jobs are left out.
 */
export function sumRecent(
  arrivals: readonly Arrival[],
  nowMs: number,
): Map<string, number> {
  const sums = new Map<string, number>();
  const counts = new Map<string, number>();
  const firstMs =
    arrivals.find(({ atMs, work }) =>
      work > 0 && nowMs - atMs <= ARRIVAL_WINDOW_MS
    )?.atMs ?? nowMs;
  const heldUpMs = measureHeldUp(arrivals, firstMs);
  const spanMs = heldUpMs === 0
    ? ARRIVAL_WINDOW_MS
    : nowMs - firstMs + heldUpMs;
  for (const { pool, atMs, work } of arrivals) {
    if (nowMs - atMs <= ARRIVAL_WINDOW_MS) {
      add(sums, pool, work / spanMs);
      add(counts, pool, 1);
    }
  }
  for (const [pool, count] of counts) {
    if (count < MIN_ARRIVALS) {
      sums.delete(pool);
    }
  }
  return sums;
}

function add(sums: Map<string, number>, key: string, value: number): void {
  sums.set(key, (sums.get(key) ?? 0) + value);
}
