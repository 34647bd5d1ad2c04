/** Forecasts demand that is rising, and joins several forecasts. */
import type { Arrival, DemandForecast } from "./demand_forecast.ts";
import { measureHeldUp } from "./held_up.ts";

/** Length of each of the two spans whose arrivals are compared (ms). */
const SPAN_MS = 1_000;
/** Least number of jobs in the newer span; fewer show no trend. */
const MIN_ARRIVAL_COUNT = 5;
/** Most by which a prediction exceeds the demand of the newer span. */
const MAX_GROWTH_FACTOR = 2;

interface Spans {
  olderWork: number;
  newerWork: number;
  newerCount: number;
}

/**
 * Extends the rise of a pool's demand from one second to the next. A VM that
 * begins to move when work waits is of use only seconds later, while a queue
 * whose turn has come asks for more all the time. Work that was held up, and then
 * comes at once, shows no rise.
 */
export class TrendForecast implements DemandForecast {
  predict(
    arrivals: readonly Arrival[],
    fromMs: number,
    nowMs: number,
  ): ReadonlyMap<string, number> {
    const expected = new Map<string, number>();
    const firstMs =
      arrivals.find(({ atMs, work }) => work > 0 && nowMs - atMs <= 2 * SPAN_MS)
        ?.atMs ?? nowMs;
    if (measureHeldUp(arrivals, firstMs) > 0) {
      return expected;
    }
    // The mean of the newer span is that of its middle.
    const aheadMs = fromMs - nowMs + SPAN_MS / 2;
    for (const [pool, spans] of sumBySpan(arrivals, nowMs)) {
      const newer = spans.newerWork / SPAN_MS;
      const rise = newer - spans.olderWork / SPAN_MS;
      if (rise > 0 && spans.newerCount >= MIN_ARRIVAL_COUNT) {
        const extended = newer + rise * aheadMs / SPAN_MS;
        expected.set(pool, Math.min(extended, newer * MAX_GROWTH_FACTOR));
      }
    }
    return expected;
  }
}

/** Predicts the highest demand that one of several forecasts predicts. */
export class HighestForecast implements DemandForecast {
  readonly #forecasts: readonly DemandForecast[];

  /** @param forecasts - The forecasts. */
  constructor(forecasts: readonly DemandForecast[]) {
    this.#forecasts = forecasts;
  }

  predict(
    arrivals: readonly Arrival[],
    fromMs: number,
    nowMs: number,
  ): ReadonlyMap<string, number> {
    const highest = new Map<string, number>();
    for (const forecast of this.#forecasts) {
      const expected = forecast.predict(arrivals, fromMs, nowMs);
      for (const [pool, millicores] of expected) {
        highest.set(pool, Math.max(millicores, highest.get(pool) ?? 0));
      }
    }
    return highest;
  }
}

function sumBySpan(
  arrivals: readonly Arrival[],
  nowMs: number,
): ReadonlyMap<string, Spans> {
  const byPool = new Map<string, Spans>();
  for (const { pool, atMs, work } of arrivals) {
    const ageMs = nowMs - atMs;
    if (ageMs > 2 * SPAN_MS) {
      continue;
    }
    const spans = byPool.get(pool) ??
      { olderWork: 0, newerWork: 0, newerCount: 0 };
    byPool.set(pool, spans);
    if (ageMs > SPAN_MS) {
      spans.olderWork += work;
    } else {
      spans.newerWork += work;
      spans.newerCount += 1;
    }
  }
  return byPool;
}
