import * as assert from "uvu/assert";
import { describe, it } from "../../testing/describe.ts";
import type { Arrival } from "./demand_forecast.ts";
import { findTurns } from "./turn_detector.ts";

const INTERVAL_MS = 50;
const REST_INTERVAL_MS = 900;
const JOB_WORK = 200_000_000;
const TURN_FROM_MS = 3_000;
const TURN_UNTIL_MS = 9_000;
const NOW_MS = 12_000;

/** Creates the jobs of one turn, with a time in it in which none comes. */
function createTurn(lullFromMs: number, lullMs: number): Arrival[] {
  const arrivals: Arrival[] = [];
  for (let atMs = 0; atMs < NOW_MS; atMs += INTERVAL_MS) {
    const isTurn = atMs >= TURN_FROM_MS && atMs < TURN_UNTIL_MS;
    const isLull = atMs >= lullFromMs && atMs < lullFromMs + lullMs;
    if (isTurn ? !isLull : atMs % REST_INTERVAL_MS === 0) {
      arrivals.push({ pool: "a", atMs, work: JOB_WORK });
    }
  }
  return arrivals;
}

// The pattern: jobs of a turn do not come evenly, and a second without any looks
// like its end.
describe("turns with lulls", () => {
  it("are found in one piece", () => {
    const turns = findTurns(createTurn(5_000, 900), NOW_MS);
    assert.is(turns.length, 1);
    const [turn] = turns;
    assert.is(turn?.startMs, TURN_FROM_MS);
    assert.ok(Math.abs((turn?.endMs ?? 0) - TURN_UNTIL_MS) < 500);
  });

  it("have the demand of all their work", () => {
    const [turn] = findTurns(createTurn(5_000, 900), NOW_MS);
    const lengthMs = TURN_UNTIL_MS - TURN_FROM_MS;
    const mean = JOB_WORK * (lengthMs - 900) / INTERVAL_MS / lengthMs;
    const share = (turn?.millicores ?? 0) / mean;
    assert.ok(share > 0.9 && share < 1.1, `${share}`);
  });

  it("end when no job comes for longer", () => {
    const turns = findTurns(createTurn(5_000, 2_500), NOW_MS);
    assert.is(turns.length, 2);
  });

  // The pattern: the leader is lost in a turn, and no job is accepted for 2.5 s.
  it("are found in one piece if no pool had a job meanwhile", () => {
    const other = Array.from({ length: 24 }, (_, at): Arrival => ({
      pool: "b",
      atMs: at * 500,
      work: JOB_WORK,
    })).filter(({ atMs }) => atMs < 5_000 || atMs >= 7_500);
    const arrivals = [...createTurn(5_000, 2_500), ...other]
      .toSorted((left, right) => left.atMs - right.atMs);
    const turns = findTurns(arrivals, NOW_MS)
      .filter(({ pool }) => pool === "a");
    assert.equal(turns.map(({ startMs }) => startMs), [TURN_FROM_MS]);
  });
});
