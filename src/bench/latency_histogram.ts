/** Computes percentiles of the latencies of a measurement. */
import { build } from "hdr-histogram-js";

const MICROSECONDS_PER_MS = 1_000;
const HIGHEST_VALUE_US = 600_000_000;
const SIGNIFICANT_DIGITS = 3;

/** A histogram of latencies, which counts any above 10 minutes as 10 minutes. */
export class LatencyHistogram {
  readonly #histogram = build({
    highestTrackableValue: HIGHEST_VALUE_US,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });

  /**
   * Records one latency.
   *
   * @param latencyMs - The latency, in milliseconds.
   */
  record(latencyMs: number): void {
    const valueUs = Math.max(0, Math.round(latencyMs * MICROSECONDS_PER_MS));
    this.#histogram.recordValue(Math.min(valueUs, HIGHEST_VALUE_US));
  }

  /** Number of recorded latencies. */
  get count(): number {
    return this.#histogram.totalCount;
  }

  /**
   * Returns the latency at a percentile.
   *
   * @param percentile - From 0 to 100.
   * @returns The latency in milliseconds; 0 if none is recorded.
   */
  percentileMs(percentile: number): number {
    const valueUs = this.#histogram.getValueAtPercentile(percentile);
    return this.count === 0 ? 0 : valueUs / MICROSECONDS_PER_MS;
  }
}
