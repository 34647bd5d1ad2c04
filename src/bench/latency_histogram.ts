/** Latencies of a measurement, by hdr-histogram-js. */
import { build } from "hdr-histogram-js";

const MICROSECONDS_PER_MS = 1_000;
const HIGHEST_VALUE_US = 600_000_000;
const SIGNIFICANT_DIGITS = 3;

/** Collects latencies and gives percentiles. */
export class LatencyHistogram {
  readonly #histogram = build({
    highestTrackableValue: HIGHEST_VALUE_US,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });

  /**
   * Adds one latency.
   *
   * @param latencyMs - The latency, in milliseconds.
   */
  record(latencyMs: number): void {
    const valueUs = Math.max(0, Math.round(latencyMs * MICROSECONDS_PER_MS));
    this.#histogram.recordValue(Math.min(valueUs, HIGHEST_VALUE_US));
  }

  /** Number of latencies so far. */
  get count(): number {
    return this.#histogram.totalCount;
  }

  /**
   * Reads a percentile.
   *
   * @param percentile - From 0 to 100.
   * @returns The latency in milliseconds; 0 when there is none.
   */
  percentileMs(percentile: number): number {
    const valueUs = this.#histogram.getValueAtPercentile(percentile);
    return this.count === 0 ? 0 : valueUs / MICROSECONDS_PER_MS;
  }
}
