import * as assert from "uvu/assert";
import { describe, it } from "../../testing/describe.ts";
import type { Arrival } from "./demand_forecast.ts";
import { HighestForecast, TrendForecast } from "./trend_forecast.ts";

const NOW_MS = 100_000;
const AHEAD_MS = 2_000;
const SECOND_MS = 1_000;
/** Work that keeps one core busy for a second. */
const WORK = 1_000 * SECOND_MS;

/** Creates jobs at even distances, a number for each second, oldest first. */
function createArrivals(
  counts: readonly number[],
  pool = "bay",
): Arrival[] {
  return counts.flatMap((count, second) => {
    const startMs = NOW_MS - (counts.length - second) * SECOND_MS;
    return Array.from({ length: count }, (_, at) => ({
      pool,
      atMs: startMs + (at + 0.5) * SECOND_MS / count,
      work: WORK,
    }));
  });
}

function predictCores(arrivals: readonly Arrival[]): number {
  const expected = new TrendForecast().predict(
    arrivals,
    NOW_MS + AHEAD_MS,
    NOW_MS,
  );
  return (expected.get("bay") ?? 0) / 1_000;
}

// The pattern: queues take turns, and the demand of each rises for some seconds
// to several times what its pool holds.
describe("forecast of a queue whose turn begins", () => {
  // Guards against pools that lag behind the demand by the duration of a move.
  it("is near the demand at the time when a moved VM serves", () => {
    const cores = predictCores(createArrivals([10, 20, 35]));
    assert.ok(cores > 60 && cores <= 75, `${cores} cores`);
  });

  it("is at most twice the present demand", () => {
    assert.is(predictCores(createArrivals([0, 1, 90])), 180);
  });
});

describe("forecast of demand that does not rise", () => {
  it("is none while it stays", () => {
    assert.is(predictCores(createArrivals([40, 40, 40])), 0);
  });

  it("is none while it falls", () => {
    assert.is(predictCores(createArrivals([80, 60, 40])), 0);
  });

  it("is none for a few jobs", () => {
    assert.is(predictCores(createArrivals([0, 0, 4])), 0);
  });
});

describe("highest of several forecasts", () => {
  it("is taken for each pool by itself", () => {
    const forecast = new HighestForecast([
      { predict: () => new Map([["a", 5], ["b", 1]]) },
      { predict: () => new Map([["b", 7], ["c", 2]]) },
    ]);
    const expected = forecast.predict([], NOW_MS, NOW_MS);
    assert.equal([...expected], [["a", 5], ["b", 7], ["c", 2]]);
  });
});

describe("forecast of a rise in turns", () => {
  const predictBay = (arrivals: readonly Arrival[]) =>
    new TrendForecast().predict(arrivals, NOW_MS + AHEAD_MS, NOW_MS)
      .get("bay");

  it("extends the rise while no turn has ended", () => {
    assert.ok((predictBay(createArrivals([1, 1, 1, 10, 35])) ?? 0) > 60_000);
  });

  it("extends the rise also after a turn has ended", () => {
    const before = createArrivals([30, 30, 1, 1, 1, 1], "dock");
    const turn = createArrivals([1, 1, 1, 1, 10, 35]);
    const arrivals = [...before, ...turn]
      .toSorted((left, right) => left.atMs - right.atMs);
    assert.ok((predictBay(arrivals) ?? 0) > 60_000);
  });

  it("extends none of what was held up", () => {
    const arrivals = createArrivals([30, 30, 0, 0, 0, 0, 90]);
    assert.is(predictBay(arrivals), undefined);
  });
});
