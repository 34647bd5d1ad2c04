import * as assert from "uvu/assert";
import type { Arrival } from "../../decisions/index.ts";
import { describe, it } from "../../testing/describe.ts";
import { sumRecent } from "./arrivals.ts";

const INTERVAL_MS = 50;
/** Work that keeps 4 cores busy when a job comes each 50 ms. */
const WORK = 200_000;
const DEMAND_MILLICORES = WORK / INTERVAL_MS;

function createSteady(fromMs: number, toMs: number): Arrival[] {
  const count = Math.floor((toMs - fromMs) / INTERVAL_MS);
  return Array.from({ length: count }, (_, at) => ({
    pool: "bay",
    atMs: fromMs + at * INTERVAL_MS,
    work: WORK,
  }));
}

describe("work that has arrived of late", () => {
  it("is near the demand while it is steady", () => {
    const sum = sumRecent(createSteady(0, 5_000), 5_000).get("bay") ?? 0;
    assert.ok(Math.abs(sum / DEMAND_MILLICORES - 1) < 0.15, `${sum}`);
  });

  // The pattern: no leader for 5 s, and all callers hand in at once what waited.
  it("counts the time in which nothing could arrive", () => {
    const held = Array.from({ length: 100 }, (_, at) => ({
      pool: "bay",
      atMs: 6_000 + at * 5,
      work: WORK,
    }));
    const sum = sumRecent([...createSteady(0, 1_000), ...held], 6_500)
      .get("bay") ?? 0;
    assert.ok(Math.abs(sum / DEMAND_MILLICORES - 1) < 0.15, `${sum}`);
  });
});
