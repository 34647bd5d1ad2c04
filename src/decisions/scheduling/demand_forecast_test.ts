import * as assert from "uvu/assert";
import { describe, it } from "../../testing/describe.ts";
import {
  type Arrival,
  NoForecast,
  PeriodicForecast,
} from "./demand_forecast.ts";

const POOLS = ["a", "b", "c", "d"];
const TURN_MS = 4_000;
const PERIOD_MS = POOLS.length * TURN_MS;
const STEP_MS = 100;
const JOB_WORK = 30_000_000;
const QUIET_SHARE = 20;

// One pool after the other gets a job every 100 ms for the length of its turn.
// The other pools get one job in twenty of these steps.
function createTurns(untilMs: number): Arrival[] {
  const arrivals: Arrival[] = [];
  for (let atMs = 0; atMs < untilMs; atMs += STEP_MS) {
    const turn = Math.floor(atMs / TURN_MS) % POOLS.length;
    POOLS.forEach((pool, index) => {
      const isSparse = (atMs / STEP_MS) % QUIET_SHARE === index;
      if (index === turn || isSparse) {
        arrivals.push({ pool, atMs, work: JOB_WORK });
      }
    });
  }
  return arrivals;
}

describe("forecast of demand", () => {
  describe("of pools that are busy one after the other", () => {
    const nowMs = PERIOD_MS + 7_000;
    const fromMs = nowMs + 2_000;

    it("predicts the most demand for the pool that is busy next", () => {
      const expected = new PeriodicForecast()
        .predict(createTurns(nowMs), fromMs, nowMs);
      const ranked = [...expected].toSorted((left, right) =>
        right[1] - left[1]
      );
      assert.is(ranked[0]?.[0], "c");
      assert.ok((ranked[0]?.[1] ?? 0) > 5 * (ranked[1]?.[1] ?? 0));
    });

    it("predicts no demand in the baseline", () => {
      assert.is(new NoForecast().predict().size, 0);
    });
  });

  describe("of steady demand", () => {
    it("predicts little more than the steady demand", () => {
      const arrivals = Array.from({ length: 400 }, (_, index) => ({
        pool: "a",
        atMs: index * STEP_MS,
        work: JOB_WORK,
      }));
      const expected = new PeriodicForecast().predict(arrivals, 42_000, 40_000);
      const steady = JOB_WORK / STEP_MS;
      assert.ok((expected.get("a") ?? 0) <= steady * 1.5);
    });

    it("predicts no demand before any work arrived", () => {
      assert.is(new PeriodicForecast().predict([], 2_000, 0).size, 0);
    });
  });
});
