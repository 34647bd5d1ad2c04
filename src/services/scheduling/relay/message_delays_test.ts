import * as assert from "uvu/assert";
import { describe, it } from "../../../testing/describe.ts";
import { MAX_CLOCK_DRIFT } from "../timing.ts";
import { MessageDelays } from "./message_delays.ts";

const OFFSET_MS = 70_000;
const LATENCY_MS = 3;
const LATE_MS = 2_000;

describe("the delays of messages", () => {
  it("are measured from the fastest message, whatever the clocks show", () => {
    const delays = new MessageDelays();
    assert.is(delays.record(0, OFFSET_MS + LATENCY_MS), 0);
    assert.is(delays.record(10, OFFSET_MS + 10), 0);
    const lateMs = delays.record(20, OFFSET_MS + 20 + LATE_MS);
    assert.ok(
      lateMs > LATE_MS * (1 - 2 * MAX_CLOCK_DRIFT) && lateMs <= LATE_MS,
    );
  });

  // Guards against a relay that refuses all requests after a long time.
  it("stay small when one clock is slow", () => {
    const delays = new MessageDelays();
    for (let atMs = 0; atMs < 1_000_000; atMs += 5_000) {
      assert.is(delays.record(atMs * (1 - MAX_CLOCK_DRIFT), atMs), 0);
    }
  });
});
