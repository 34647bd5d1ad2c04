/** Generates demand with frequent peaks of seconds and rises that last hours. */
import type { Random } from "../ports/index.ts";

/** Mean demand without rises, as a fraction of a pool's slots. */
const MEAN_RATIO = 0.3;
const PEAK_FACTOR = 5;
const TROUGH_FACTOR = 0.05;
const PEAK_STEP_COUNT = 2;
/** Spacing at which peaks and troughs average to about the mean demand. */
const PEAK_SPACING_STEP_COUNT = 10;
/** Demand during a rise, as a fraction of a pool's slots. */
const RISE_RATIO = 1.2;
const RISE_INTERVAL_MS = 3 * 3_600_000;
const RISE_DURATION_MS = 2 * 3_600_000;
const PERCENT = 100;

/** Number of slots that the callers of a pool want in each step. */
export type DemandSeries = readonly number[];

/** Options of {@link generateDemand}. */
export interface DemandOptions {
  readonly random: Random;
  readonly poolNames: readonly string[];
  /** Number of slots of each pool at the start. */
  readonly slotCounts: readonly number[];
  readonly stepCount: number;
  readonly stepMs: number;
}

/**
 * Generates the demand of all pools. The pools rise in turn, one at a time.
 *
 * @param options - Pools, slots, length and random source.
 * @returns A series for each pool, which is the same for the same seed.
 */
export function generateDemand(
  options: DemandOptions,
): ReadonlyMap<string, DemandSeries> {
  const { poolNames, random } = options;
  const firstRisingPool = random.nextInt(poolNames.length);
  const series = poolNames.map((name, index) => {
    const offset = random.nextInt(PEAK_SPACING_STEP_COUNT);
    const slotCount = options.slotCounts[index] ?? 0;
    const steps = Array.from({ length: options.stepCount }, (_, step) => {
      const atMs = step * options.stepMs;
      const risingPool = firstRisingPool + Math.floor(atMs / RISE_INTERVAL_MS);
      const isRising = risingPool % poolNames.length === index &&
        atMs % RISE_INTERVAL_MS < RISE_DURATION_MS;
      return isRising
        ? Math.round(slotCount * RISE_RATIO)
        : drawPeakDemand(random, slotCount, step + offset);
    });
    return [name, steps] as const;
  });
  return new Map(series);
}

function drawPeakDemand(
  random: Random,
  slotCount: number,
  step: number,
): number {
  const isPeak = step % PEAK_SPACING_STEP_COUNT < PEAK_STEP_COUNT;
  const factor = isPeak ? PEAK_FACTOR : TROUGH_FACTOR;
  const noise = (PERCENT - 10 + random.nextInt(20)) / PERCENT;
  return Math.round(slotCount * MEAN_RATIO * factor * noise);
}
