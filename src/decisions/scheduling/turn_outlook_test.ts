import * as assert from "uvu/assert";
import { describe, it } from "../../testing/describe.ts";
import type { Arrival } from "./demand_forecast.ts";
import { CyclicTurnOutlook, type ExpectedTurn } from "./turn_outlook.ts";

const POOLS = ["a", "b", "c", "d"];
const TURN_MS = 4_000;
const CYCLE_MS = POOLS.length * TURN_MS;
const TURN_INTERVAL_MS = 50;
const REST_INTERVAL_MS = 1_000;
/** Work that keeps 4,000 cores busy when a job comes each 50 ms. */
const JOB_WORK = 200_000_000;
const TURN_MILLICORES = JOB_WORK / TURN_INTERVAL_MS;

/** Creates the jobs of turns by the clock; `begins` holds their starts. */
function createArrivals(begins: readonly number[], untilMs: number): Arrival[] {
  const arrivals: Arrival[] = [];
  for (let atMs = 0; atMs < untilMs; atMs += TURN_INTERVAL_MS) {
    const turn = begins.findLastIndex((startMs) => startMs <= atMs);
    POOLS.forEach((pool, index) => {
      if (index === turn % POOLS.length || atMs % REST_INTERVAL_MS === 0) {
        arrivals.push({ pool, atMs, work: JOB_WORK });
      }
    });
  }
  return arrivals;
}

function expect(nowMs: number, begins?: readonly number[]): ExpectedTurn[] {
  const byClock = Array.from({ length: 12 }, (_, turn) => turn * TURN_MS);
  const arrivals = createArrivals(begins ?? byClock, nowMs);
  return new CyclicTurnOutlook().expect(arrivals, POOLS, nowMs);
}

function listStarts(turns: readonly ExpectedTurn[]): (string | number)[][] {
  return turns.map(({ pool, startMs }) => [pool, startMs]);
}

// The pattern: pools have turns by the clock, one after the other.
describe("outlook on turns by the clock", () => {
  it("is none before two turns were seen", () => {
    assert.is(expect(3_000).filter(({ startMs }) => startMs > 0).length, 0);
  });

  it("expects any pool without a turn next in the first cycle", () => {
    const next = expect(5_500).filter(({ startMs }) => startMs > 5_500);
    assert.equal(listStarts(next), [
      ["c", 2 * TURN_MS],
      ["d", 2 * TURN_MS],
      ["a", 4 * TURN_MS],
      ["b", 5 * TURN_MS],
    ]);
    assert.equal(next.map(({ isFirst }) => isFirst), [
      true,
      true,
      false,
      false,
    ]);
  });

  it("expects the turns of a whole cycle after the first one", () => {
    const nowMs = CYCLE_MS + TURN_MS + 1_500;
    const [lasting, ...next] = expect(nowMs);
    assert.is(lasting?.pool, "b");
    assert.is(lasting?.startMs, CYCLE_MS + TURN_MS);
    const endsInMs = (lasting?.endMs ?? 0) - nowMs;
    assert.ok(endsInMs > 2_000 && endsInMs < 3_000, `ends in ${endsInMs} ms`);
    assert.equal(listStarts(next), [
      ["a", 2 * CYCLE_MS],
      ["b", 2 * CYCLE_MS + TURN_MS],
      ["c", CYCLE_MS + 2 * TURN_MS],
      ["d", CYCLE_MS + 3 * TURN_MS],
    ]);
    for (const { millicores } of next) {
      const share = millicores / TURN_MILLICORES;
      assert.ok(share > 0.8 && share < 1.3, `${share} of the demand`);
    }
  });

  it("is the same for a new leader that reads the same log", () => {
    const nowMs = CYCLE_MS + TURN_MS + 1_500;
    assert.equal(expect(nowMs), expect(nowMs));
  });

  it("keeps to the clock when a turn comes early", () => {
    const begins = [0, 4_000, 8_000, 12_000, 16_000, 20_000, 22_500];
    const turns = expect(23_500, begins);
    assert.equal(
      listStarts(turns.filter(({ pool }) => pool === "c" || pool === "d")),
      [["c", 22_500], ["c", 8_000 + 2 * CYCLE_MS], ["d", 12_000 + CYCLE_MS]],
    );
  });

  // Guards against VMs for the time after a burst in place of the turn.
  it("keeps to the clock after a burst", () => {
    const nowMs = 22_000;
    const burst = Array.from({ length: 40 }, (_, at): Arrival => ({
      pool: "a",
      atMs: 13_000 + at * 25,
      work: JOB_WORK,
    }));
    const byClock = Array.from({ length: 12 }, (_, turn) => turn * TURN_MS);
    const arrivals = [...createArrivals(byClock, nowMs), ...burst]
      .toSorted((left, right) => left.atMs - right.atMs);
    const turns = new CyclicTurnOutlook().expect(arrivals, POOLS, nowMs);
    const starts = listStarts(turns.filter(({ pool }) => pool === "a"));
    assert.equal(starts, [["a", 2 * CYCLE_MS]]);
  });

  // Guards against VMs that leave a pool in its turn while there is no leader, or
  // under a new one.
  it("is none while no job is accepted, and for a second after that", () => {
    const begins = Array.from({ length: 6 }, (_, turn) => turn * TURN_MS);
    const expectAt = (nowMs: number) => {
      const arrivals = createArrivals(begins, nowMs)
        .filter(({ atMs }) => atMs < 13_000 || atMs >= 15_000);
      return new CyclicTurnOutlook().expect(arrivals, POOLS, nowMs);
    };
    assert.ok(expectAt(13_500).length > 0);
    assert.is(expectAt(14_500).length, 0);
    assert.is(expectAt(15_500).length, 0);
    assert.ok(expectAt(16_500).length > 0);
  });

  it("gives up a turn that does not begin", () => {
    const begins = [0, 4_000, 8_000, 12_000, 16_000];
    const turns = expect(21_500, begins);
    assert.not(
      turns.some(({ pool, startMs }) => pool === "b" && startMs < 21_500),
    );
  });
});
