/** Tells how long work was held up before it was accepted. */
import type { Arrival } from "./demand_forecast.ts";

/** Longest time without any job in which none was held up (ms). */
const MAX_PAUSE_MS = 1_000;
/** Span before that time in which jobs tell that others would have come (ms). */
const BEFORE_MS = 1_000;
/** Least number of jobs in that span. */
const MIN_BEFORE_COUNT = 3;

/**
 * Measures the time without any job before a job. Without a leader no job is
 * accepted, and what has waited comes at once; where no jobs came before that
 * time either, none has waited.
 *
 * @param arrivals - The arrivals of all pools, oldest first.
 * @param startMs - Wall-clock time of the job (ms).
 * @returns Milliseconds; 0 if no work was held up.
 */
export function measureHeldUp(
  arrivals: readonly Arrival[],
  startMs: number,
): number {
  const earlier = arrivals.filter(({ atMs, work }) =>
    work > 0 && atMs < startMs
  );
  const lastMs = earlier.at(-1)?.atMs ?? startMs;
  const beforeCount = earlier.filter(({ atMs }) => lastMs - atMs < BEFORE_MS)
    .length;
  const pauseMs = startMs - lastMs;
  return pauseMs > MAX_PAUSE_MS && beforeCount >= MIN_BEFORE_COUNT
    ? pauseMs
    : 0;
}
