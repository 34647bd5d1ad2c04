import * as assert from "uvu/assert";
import { DEFAULT_RUNNER_BOUNDS } from "../../domain/index.ts";
import type { Clock } from "../../ports/index.ts";
import { describe, it } from "../../testing/describe.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { PausableClock } from "../../testing/pausable_clock.ts";
import { RunnerStatus } from "./runner_status.ts";
import { MAX_CLOCK_DRIFT, POLL_TIMEOUT_MS, POLL_WAIT_MS } from "./timing.ts";

const TASK = "0123456789abcdef.0.0.1";
const LONG_MS = 10_000;

function createWorkingStatus(clock: Clock): RunnerStatus {
  const status = new RunnerStatus(clock);
  status.isSynced = true;
  status.recordAnswer();
  status.beginRequest(POLL_WAIT_MS);
  status.progress = new Map([[TASK, 100]]);
  return status;
}

function createWorkingRunner() {
  const clock = new FakeClock();
  return { clock, status: createWorkingStatus(clock) };
}

describe("progress of a task on a runner", () => {
  it("is that of the newest report while the runner responds", () => {
    const { status } = createWorkingRunner();
    assert.is(status.findPercent(TASK), 100);
    assert.is(status.findPercent("another"), 0);
  });

  // Guards against counting unavailable tasks as available: runners are cut off
  // during a wave, and their last reports listed the tasks as fully available.
  describe("is unknown", () => {
    it("once a request got no answer", () => {
      const { status } = createWorkingRunner();
      status.recordNoAnswer();
      assert.is(status.findPercent(TASK), 0);
    });

    // Guards against a fleet that seems silent because the leader's wall clock was
    // set.
    it("not because the leader's wall clock was set ahead", () => {
      const clock = new PausableClock(new FakeClock());
      const status = createWorkingStatus(clock);
      clock.setAhead(LONG_MS);
      assert.is(status.findPercent(TASK), 100);
      assert.not(status.hasOverdueRequest);
    });

    it("once the runner has not been in contact for long", async () => {
      const { clock, status } = createWorkingRunner();
      await clock.advance(LONG_MS);
      assert.is(status.findPercent(TASK), 0);
    });
  });
});

describe("a runner that was replaced", () => {
  // Guards against a task that runs twice at once: the last request to the
  // previous incarnation reached its successor late, and the lease that it got
  // there was measured on a slow clock.
  it("may have runs at its successor until the last lease has expired", async () => {
    const { clock, status } = createWorkingRunner();
    assert.not(status.mayRunAtSuccessor);
    status.recordReplaced();
    const { maxLeaseMs } = DEFAULT_RUNNER_BOUNDS;
    await clock.advance(POLL_WAIT_MS + POLL_TIMEOUT_MS);
    await clock.advance(maxLeaseMs / (1 - MAX_CLOCK_DRIFT));
    assert.ok(status.mayRunAtSuccessor);
    await clock.advance(maxLeaseMs);
    assert.not(status.mayRunAtSuccessor);
  });
});
