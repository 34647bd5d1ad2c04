import * as assert from "uvu/assert";
import { describe, it } from "../../testing/describe.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { RunnerStatus } from "./runner_status.ts";

const TASK = "0123456789abcdef.0.0.1";
const LONG_MS = 10_000;

function createWorkingRunner() {
  const clock = new FakeClock();
  const status = new RunnerStatus(clock);
  status.isSynced = true;
  status.recordAnswer();
  status.progress = new Map([[TASK, 100]]);
  return { clock, status };
}

describe("what a leader knows of a runner", () => {
  it("is its newest report while it answers", () => {
    const { status } = createWorkingRunner();
    assert.is(status.findPercent(TASK), 100);
    assert.is(status.findPercent("another"), 0);
  });

  // Pattern: runners are cut off during a wave; their tasks are away, although
  // they were at work when they were last seen.
  describe("is no sign of work", () => {
    it("once an order got no answer", () => {
      const { status } = createWorkingRunner();
      status.recordNoAnswer();
      assert.is(status.findPercent(TASK), 0);
    });

    it("once nothing was heard of it for long", async () => {
      const { clock, status } = createWorkingRunner();
      await clock.advance(LONG_MS);
      assert.is(status.findPercent(TASK), 0);
    });
  });
});
