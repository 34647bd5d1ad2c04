import * as assert from "uvu/assert";
import { describe, it } from "../../testing/describe.ts";
import type { Arrival } from "./demand_forecast.ts";
import { listRestedPools } from "./turn_order.ts";

const POOLS = ["a", "b", "c"];
const TURN_MS = 4_000;
const TURN_INTERVAL_MS = 50;
const REST_INTERVAL_MS = 1_000;
const JOB_WORK = 200_000_000;
/** Time after the start of a turn by which it is found (ms). */
const FOUND_MS = 1_000;

/** Creates jobs of pools that take turns, until a time. */
function createTurns(untilMs: number): Arrival[] {
  const arrivals: Arrival[] = [];
  for (let atMs = 0; atMs <= untilMs; atMs += TURN_INTERVAL_MS) {
    const turn = Math.floor(atMs / TURN_MS) % POOLS.length;
    POOLS.forEach((pool, index) => {
      if (index === turn || atMs % REST_INTERVAL_MS === 0) {
        arrivals.push({ pool, atMs, work: JOB_WORK });
      }
    });
  }
  return arrivals;
}

function listRested(turnCount: number): string[] {
  const nowMs = (turnCount - 1) * TURN_MS + FOUND_MS;
  return [...listRestedPools(createTurns(nowMs), POOLS, nowMs)].toSorted();
}

// The pattern: pools have turns in a fixed order.
describe("pools whose turn has ended", () => {
  it("are none in the first turn", () => {
    assert.equal(listRested(1), []);
  });

  it("are those before whose next turn another pool has its first", () => {
    assert.equal(listRested(2), ["a"]);
  });

  it("leave out the pool whose turn comes next", () => {
    assert.equal(listRested(3), ["b"]);
    assert.equal(listRested(4), ["c"]);
  });

  it("are none where demand is steady", () => {
    const steady = Array.from({ length: 200 }, (_, at): Arrival => ({
      pool: POOLS[at % POOLS.length] ?? "",
      atMs: at * TURN_INTERVAL_MS,
      work: JOB_WORK,
    }));
    assert.equal([...listRestedPools(steady, POOLS, 10_000)], []);
  });
});
