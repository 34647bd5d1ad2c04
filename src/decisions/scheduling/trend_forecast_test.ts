import * as assert from "uvu/assert";
import { describe, it } from "../../testing/describe.ts";
import type { Arrival } from "./demand_forecast.ts";
import {
  HighestForecast,
  StepAwareTrendForecast,
  TrendForecast,
} from "./trend_forecast.ts";

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

// The pattern: a turn begins with a step, and its jobs differ in size.
describe("forecast of a queue in its turn", () => {
  const forecast = new StepAwareTrendForecast();
  const predictInTurn = (counts: readonly number[]) =>
    (forecast.predict(createArrivals(counts), NOW_MS + AHEAD_MS, NOW_MS)
      .get("bay") ?? 0) / 1_000;

  // Guards against a pool without VMs for its turn when the leader is lost in
  // its first seconds.
  it("extends the rise at its start", () => {
    assert.is(predictInTurn([1, 1, 1, 1, 40]), 80);
  });

  it("extends none later, however much more work comes by chance", () => {
    assert.is(predictInTurn([1, 1, 1, 1, 40, 40, 60]), 0);
  });

  // Guards against an outage that is taken for the start of a turn.
  it("extends none of work that was held up before", () => {
    assert.is(predictInTurn([40, 40, 40, 0, 0, 0, 90]), 0);
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
