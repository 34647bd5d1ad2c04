import * as assert from "uvu/assert";
import { describe, it } from "../../testing/describe.ts";
import type { Arrival } from "./demand_forecast.ts";
import { NeverRestPolicy, TurnRestPolicy } from "./rest_policy.ts";

const POOLS = ["a", "b", "c", "d"];
const TURN_MS = 4_500;
const TURN_INTERVAL_MS = 50;
const REST_INTERVAL_MS = 900;
const JOB_WORK = 200_000_000;
/** Time after which the end of a turn is certain (ms). */
const SETTLE_MS = 1_500;
/** Half the length of a lull (ms): long enough to be taken for an end. */
const LULL_MS = 700;

interface Turns {
  /** Pools in the order of their turns. */
  readonly order: string;
  /** Pools that have a turn of their own beside the last one. */
  readonly beside?: string;
  readonly lastTurnMs?: number;
  /** Whether no job comes for a while in the midst of each turn. */
  readonly hasLulls?: boolean;
}

/** Lets pools have their turns, and tells which pools rest in the last one. */
function findResting(
  { order, beside = "", hasLulls = false, lastTurnMs = SETTLE_MS }: Turns,
) {
  const arrivals: Arrival[] = [];
  const turns = [...order];
  const nowMs = (turns.length - 1) * TURN_MS + lastTurnMs;
  for (let atMs = 0; atMs <= nowMs; atMs += TURN_INTERVAL_MS) {
    const turn = Math.floor(atMs / TURN_MS);
    const isLast = turn === turns.length - 1;
    POOLS.forEach((pool, index) => {
      const isRestingJob = (atMs + index * TURN_INTERVAL_MS) %
          REST_INTERVAL_MS === 0;
      const isLull = hasLulls &&
        Math.abs(atMs % TURN_MS - TURN_MS / 2) < LULL_MS;
      const hasTurn = (turns[turn] === pool && !isLull) ||
        (isLast && beside.includes(pool));
      if (hasTurn || isRestingJob) {
        arrivals.push({ pool, atMs, work: JOB_WORK });
      }
    });
  }
  return [...new TurnRestPolicy().findResting(arrivals, nowMs)].sort().join("");
}

// The pattern: pools take turns. Idle VMs cost money all day, and a pool whose
// VMs are gone when its turn begins loses the first seconds of it.
describe("rest of pools that take turns", () => {
  describe("in the first cycle", () => {
    it("keeps the VMs of pools that had no turn yet", () => {
      assert.is(findResting({ order: "a" }), "");
      assert.is(findResting({ order: "ab" }), "a");
      assert.is(findResting({ order: "abc" }), "b", "a or d is next");
    });
  });

  // Guards against pools that never rest, because a lull in the midst of a turn
  // looks like a second turn out of order.
  it("takes the parts of a turn with a lull for one", () => {
    assert.is(findResting({ order: "abc", hasLulls: true }), "b");
    assert.is(findResting({ order: "abcda", hasLulls: true }), "cd");
  });

  describe("once the order has been confirmed", () => {
    it("keeps the VMs of the pool whose turn is longest ago", () => {
      assert.is(findResting({ order: "abcda" }), "cd");
      assert.is(findResting({ order: "abcdabc" }), "ab");
    });
  });

  describe("when some pools have no turns at all", () => {
    it("keeps the VMs of the pool whose turn is longest ago", () => {
      assert.is(findResting({ order: "abab" }), "");
      assert.is(findResting({ order: "abcab" }), "a");
    });
  });

  describe("when turns do not come as expected", () => {
    it("keeps all VMs after a turn out of order", () => {
      assert.is(findResting({ order: "abcdac" }), "");
      assert.is(findResting({ order: "abcab" + "a" }), "");
    });

    it("keeps all VMs while two pools rise at once out of order", () => {
      assert.is(findResting({ order: "abcda", beside: "c" }), "");
    });

    it("trusts the order again once it was kept for long enough", () => {
      assert.is(findResting({ order: "abcdacbdacbdacb" }), "ac");
    });
  });

  it("lets no pool rest in the baseline", () => {
    assert.is(new NeverRestPolicy().findResting().size, 0);
  });
});
