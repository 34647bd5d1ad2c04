import * as assert from "uvu/assert";
import { describe, it } from "../../testing/describe.ts";
import { LoadBatchIntervalPolicy } from "./batch_interval_policy.ts";

const INTERVAL = { leastMs: 20, mostMs: 120 };

describe("batch interval by load", () => {
  const cases = [
    { activeShare: 0, expectedMs: 20 },
    { activeShare: 0.5, expectedMs: 20 },
    { activeShare: 0.75, expectedMs: 70 },
    { activeShare: 1, expectedMs: 120 },
    { activeShare: 1.2, expectedMs: 120 },
  ];
  for (const { activeShare, expectedMs } of cases) {
    it(`is ${expectedMs} ms for an active share of ${activeShare}`, () => {
      const policy = new LoadBatchIntervalPolicy({ activeShare });
      assert.is(policy.chooseMs(INTERVAL), expectedMs);
    });
  }
});
