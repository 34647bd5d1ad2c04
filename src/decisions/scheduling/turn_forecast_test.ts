import * as assert from "uvu/assert";
import { describe, it } from "../../testing/describe.ts";
import type { Arrival } from "./demand_forecast.ts";
import { TurnForecast } from "./turn_forecast.ts";

const POOLS = ["a", "b", "c", "d"];
const TURN_MS = 4_500;
const CYCLE_MS = POOLS.length * TURN_MS;
const AHEAD_MS = 2_000;
const TURN_INTERVAL_MS = 50;
const REST_INTERVAL_MS = 900;
/** Work that keeps 4,000 cores busy when a job comes each 50 ms. */
const JOB_WORK = 200_000_000;
const TURN_MILLICORES = JOB_WORK / TURN_INTERVAL_MS;
/** Part of the first turn that lies before the first job (ms). */
const MISSED_MS = 1_500;

// Jobs of long-running tasks, handed in before the others.
const EARLY_JOBS = POOLS.map((pool): Arrival => ({
  pool,
  atMs: -10_000,
  work: 0,
}));

/** Creates jobs until a time; `order` holds the pools in order of their turns. */
function createTurns(untilMs: number, order = POOLS): Arrival[] {
  const arrivals = [...EARLY_JOBS];
  for (let atMs = 0; atMs <= untilMs; atMs += TURN_INTERVAL_MS) {
    const turn = Math.floor((atMs + MISSED_MS) / TURN_MS) % order.length;
    order.forEach((pool, index) => {
      const isRestingJob = (atMs + index * TURN_INTERVAL_MS) %
          REST_INTERVAL_MS === 0;
      if (index === turn || isRestingJob) {
        arrivals.push({ pool, atMs, work: JOB_WORK });
      }
    });
  }
  return arrivals;
}

/** Start of a turn, counted from 0 (ms). */
function findStartMs(turn: number): number {
  return turn * TURN_MS - MISSED_MS;
}

function predict(
  arrivals: readonly Arrival[],
  nowMs: number,
): ReadonlyMap<string, number> {
  return new TurnForecast().predict(arrivals, nowMs + AHEAD_MS, nowMs);
}

function predictShare(turns: number, offsetMs: number, pool: string): number {
  const nowMs = findStartMs(turns) + offsetMs;
  return (predict(createTurns(nowMs), nowMs).get(pool) ?? 0) /
    TURN_MILLICORES;
}

function checkNear(share: number): void {
  assert.ok(share > 0.8 && share < 1.3, `${share} of the demand of a turn`);
}

// The pattern: pools have turns in a fixed order. In its turn a pool gets many
// times the work of other times, from one moment to the next, and the work is
// late unless VMs are there soon.
describe("forecast of pools that take turns", () => {
  describe("when a turn has begun", () => {
    it("is near its demand after a few jobs", () => {
      checkNear(predictShare(1, 350, "b"));
    });

    it("lasts as long as the turn does", () => {
      checkNear(predictShare(1, 3_900, "b"));
    });

    it("ends soon after the turn", () => {
      assert.is(predictShare(2, 600, "b"), 0);
    });
  });

  describe("in the first cycle", () => {
    // Guards against pools that have their VMs two seconds after their turn
    // has begun, until a whole cycle has been seen.
    it("expects the only pool that had no turn yet", () => {
      checkNear(predictShare(3, -AHEAD_MS, "d"));
    });

    it("expects the pool whose turn is longest ago after all had one", () => {
      checkNear(predictShare(4, -AHEAD_MS, "a"));
    });

    it("expects no turn while the time between turns is unknown", () => {
      const nowMs = findStartMs(2) - 1_000;
      assert.equal([...predict(createTurns(nowMs), nowMs).keys()], ["b"]);
    });
  });

  describe("in later cycles", () => {
    const order = ["a", "c", "d", "b"];

    // Guards against a forecast that long-running jobs handed in early blind.
    for (const turn of [5, 6, 7]) {
      it(`expects what followed in the cycle before, turn ${turn}`, () => {
        const nowMs = findStartMs(turn) - AHEAD_MS;
        const expected = predict(createTurns(nowMs, order), nowMs);
        const next = order[turn % order.length] ?? "";
        checkNear((expected.get(next) ?? 0) / TURN_MILLICORES);
        assert.is(expected.size, 2, "the present and the next");
      });
    }

    it("gives up a turn that does not begin", () => {
      const lastMs = findStartMs(5);
      const nowMs = lastMs + 1_500;
      const arrivals = createTurns(CYCLE_MS * 2)
        .filter(({ atMs }) => atMs < lastMs);
      assert.is(predict(arrivals, nowMs).size, 0);
    });
  });
});

// The pattern: no job is accepted for 5 s, as there is no leader, and callers hand
// in within half a second what has waited.
describe("forecast after a time in which no job was accepted", () => {
  // Guards against VMs for some times the demand, taken from all other pools.
  it("counts that time for the work that has waited", () => {
    const before = createTurns(1_000);
    const held = Array.from({ length: 100 }, (_, at): Arrival => ({
      pool: "a",
      atMs: 6_000 + at * 5,
      work: JOB_WORK,
    }));
    const share = (predict([...before, ...held], 6_500).get("a") ?? 0) /
      TURN_MILLICORES;
    assert.ok(share > 0.3 && share < 1.3, `${share} of the demand of a turn`);
  });
});

// The pattern: long-running jobs are handed in, and 10 s later a turn begins.
describe("forecast of a turn that is the first work of all", () => {
  // Guards against a turn that counts for little as no job came before it.
  it("is near its demand after a few jobs", () => {
    const share = (predict(createTurns(400), 400).get("a") ?? 0) /
      TURN_MILLICORES;
    checkNear(share);
  });
});

describe("forecast of pools that take no turns", () => {
  it("is at most the demand while it is steady", () => {
    const nowMs = 20_000;
    const arrivals = POOLS.flatMap((pool) =>
      Array.from({ length: 400 }, (_, index): Arrival => ({
        pool,
        atMs: index * TURN_INTERVAL_MS,
        work: JOB_WORK,
      }))
    ).toSorted((left, right) => left.atMs - right.atMs);
    for (const millicores of predict(arrivals, nowMs).values()) {
      assert.ok(millicores <= TURN_MILLICORES * 1.05);
    }
  });

  it("is none for jobs that come now and then", () => {
    const nowMs = 30_000;
    const steady = createTurns(nowMs).filter(({ pool }) => pool === "a");
    const rare = [3_000, 9_000, 9_100, 17_000, 29_800].map((atMs): Arrival => ({
      pool: "rare",
      atMs,
      work: JOB_WORK,
    }));
    const arrivals = [...steady, ...rare]
      .toSorted((left, right) => left.atMs - right.atMs);
    assert.not(predict(arrivals, nowMs).has("rare"));
  });

  it("is none before any work arrived", () => {
    assert.is(predict([], 0).size, 0);
    assert.is(predict(EARLY_JOBS, 0).size, 0);
  });
});
