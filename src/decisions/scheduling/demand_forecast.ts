/** Forecasts the demand of the pools from the work that arrived before. */
import type { JobRecord } from "../../domain/index.ts";

/** The work of one job that arrived for a pool. */
export interface Arrival {
  readonly pool: string;
  readonly atMs: number;
  /** Estimated work, in millicores times milliseconds. */
  readonly work: number;
}

/**
 * Sums the estimated work of a job.
 *
 * @param job - The job.
 * @returns Millicores times milliseconds, without long-running and best-effort
 * tasks.
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

/** Forecasts the demand of each pool. */
export interface DemandForecast {
  /**
   * Predicts the capacity that arriving work will keep busy.
   *
   * @param arrivals - Work that has arrived, oldest first.
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

/** Baseline: predicts no demand. */
export class NoForecast implements DemandForecast {
  predict(): ReadonlyMap<string, number> {
    return new Map();
  }
}

/** Width of the buckets in which arriving work is summed, in milliseconds. */
const BUCKET_MS = 500;
/** Age up to which arrivals count, in milliseconds: three periods of 20 s. */
const HISTORY_MS = 60_000;
/** Shortest and longest period that is detected, in buckets. */
const MIN_PERIOD_BUCKETS = 6;
const MAX_PERIOD_BUCKETS = 60;
/**
 * Buckets that must overlap when the history is shifted by a period, so that a
 * coincidence does not count as a period.
 */
const MIN_OVERLAP_BUCKETS = 5;
/** Correlation above which the demand counts as periodic. */
const MIN_CORRELATION = 0.6;
/** Buckets of the previous period that a prediction averages. */
const WINDOW_BUCKETS = 3;

/**
 * Detects a period that all pools share and predicts the demand of one period
 * ago.
 */
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
    const index = Math.floor((atMs - startMs) / BUCKET_MS);
    if (index >= 0 && index < count) {
      buckets[index] = (buckets[index] ?? 0) + work;
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
  return buckets.map((value, index) =>
    (buckets[index - 1] ?? value) + 2 * value + (buckets[index + 1] ?? value)
  );
}

// Computes the correlation of all series with themselves, one period later.
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
    for (let index = period; index < buckets.length; index += 1) {
      const left = (buckets[index - period] ?? 0) - mean;
      const right = (buckets[index] ?? 0) - mean;
      product += left * right;
      before += left * left;
      after += right * right;
    }
  }
  return before === 0 || after === 0 ? 0 : product / Math.sqrt(before * after);
}
