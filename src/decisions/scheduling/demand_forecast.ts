/** What the pools will ask for, from what jobs asked for before. */
import type { JobRecord } from "../../domain/index.ts";

/** Work that arrived, by pool and time. */
export interface Arrival {
  readonly pool: string;
  readonly atMs: number;
  /** Millicores times milliseconds, by the estimates. */
  readonly work: number;
}

/**
 * Sums the work of a job.
 *
 * @param job - The job.
 * @returns Millicores times milliseconds, without endless tasks.
 */
export function sumWork(job: JobRecord): number {
  return job.spec.steps.reduce(
    (sum, step) =>
      step.isEndless || step.usesLeftovers
        ? sum
        : sum + step.taskCount * step.needs.cpuMillicores * step.estimateMs,
    0,
  );
}

/** Predicts the arriving work of each pool. */
export interface DemandForecast {
  /**
   * Predicts which capacity the arriving work will keep busy.
   *
   * @param arrivals - What has arrived, oldest first.
   * @param fromMs - Wall-clock time at which the prediction begins (ms).
   * @param nowMs - Wall-clock time (ms).
   * @returns Millicores by pool.
   */
  predict(
    arrivals: readonly Arrival[],
    fromMs: number,
    nowMs: number,
  ): ReadonlyMap<string, number>;
}

/** Predicts nothing; the baseline. */
export class NoForecast implements DemandForecast {
  predict(): ReadonlyMap<string, number> {
    return new Map();
  }
}

/** Width of the steps in which arrivals are counted, in milliseconds. */
const BUCKET_MS = 500;
/** How far back arrivals count, in milliseconds: three periods of 20 s. */
const HISTORY_MS = 60_000;
/** Shortest and longest period that is looked for, in steps. */
const MIN_PERIOD_BUCKETS = 6;
const MAX_PERIOD_BUCKETS = 60;
/** Steps seen twice that a period needs, so that chance does not make one. */
const MIN_OVERLAP_BUCKETS = 5;
/** Likeness of two periods from which on the demand counts as periodic. */
const MIN_CORRELATION = 0.6;
/** Steps of the period before that a prediction averages. */
const WINDOW_BUCKETS = 3;

/** Finds a period that all pools share, and expects what was one period ago. */
export class PeriodicForecast implements DemandForecast {
  predict(
    arrivals: readonly Arrival[],
    fromMs: number,
    nowMs: number,
  ): ReadonlyMap<string, number> {
    const series = countByBucket(arrivals, nowMs);
    const period = findPeriod(series);
    const expected = new Map<string, number>();
    if (period === undefined) {
      return expected;
    }
    const aheadCount = Math.round((fromMs - nowMs) / BUCKET_MS);
    for (const [pool, buckets] of series) {
      const start = buckets.length + aheadCount - period;
      const window = buckets.slice(Math.max(0, start), start + WINDOW_BUCKETS);
      const work = window.reduce((sum, value) => sum + value, 0);
      if (window.length > 0) {
        expected.set(pool, work / (window.length * BUCKET_MS));
      }
    }
    return expected;
  }
}

function countByBucket(
  arrivals: readonly Arrival[],
  nowMs: number,
): Map<string, number[]> {
  const firstMs = Math.max(
    nowMs - HISTORY_MS,
    arrivals[0]?.atMs ?? nowMs,
  );
  const count = Math.floor((nowMs - firstMs) / BUCKET_MS);
  const series = new Map<string, number[]>();
  const startMs = nowMs - count * BUCKET_MS;
  for (const { pool, atMs, work } of arrivals) {
    const buckets = series.get(pool) ?? new Array<number>(count).fill(0);
    series.set(pool, buckets);
    const at = Math.floor((atMs - startMs) / BUCKET_MS);
    if (at >= 0 && at < count) {
      buckets[at] = (buckets[at] ?? 0) + work;
    }
  }
  return series;
}

function findPeriod(
  series: ReadonlyMap<string, readonly number[]>,
): number | undefined {
  const smoothed = [...series.values()].map(smooth);
  const length = smoothed[0]?.length ?? 0;
  let best: number | undefined;
  let bestCorrelation = MIN_CORRELATION;
  for (
    let period = MIN_PERIOD_BUCKETS;
    period <= MAX_PERIOD_BUCKETS;
    period += 1
  ) {
    if (length - period < MIN_OVERLAP_BUCKETS) {
      break;
    }
    const correlation = computeCorrelation(smoothed, period);
    if (correlation > bestCorrelation) {
      best = period;
      bestCorrelation = correlation;
    }
  }
  return best;
}

function smooth(buckets: readonly number[]): number[] {
  return buckets.map((value, at) =>
    (buckets[at - 1] ?? value) + 2 * value + (buckets[at + 1] ?? value)
  );
}

// Correlation of what overlaps when all series are shifted by one period.
function computeCorrelation(
  series: readonly (readonly number[])[],
  period: number,
): number {
  let product = 0;
  let before = 0;
  let after = 0;
  for (const buckets of series) {
    const mean = buckets.reduce((sum, value) => sum + value, 0) /
      buckets.length;
    for (let at = period; at < buckets.length; at += 1) {
      const left = (buckets[at - period] ?? 0) - mean;
      const right = (buckets[at] ?? 0) - mean;
      product += left * right;
      before += left * left;
      after += right * right;
    }
  }
  return before === 0 || after === 0 ? 0 : product / Math.sqrt(before * after);
}
