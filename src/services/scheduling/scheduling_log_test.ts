import * as assert from "uvu/assert";
import { SeededRandom } from "../../adapters/random/index.ts";
import { describe, it } from "../../testing/describe.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { FakeLog, FakeLogAgreement } from "../../testing/fake_log.ts";
import { FakeLeaderMetrics } from "../../testing/fake_ports.ts";
import { SchedulingLog } from "./scheduling_log.ts";

const SEED = 20_204;
const MAX_DELAY_MS = 500;
const MAX_PERCENT = 100;

describe("scheduling log", () => {
  function setUp() {
    const clock = new FakeClock();
    const fakeLog = new FakeLog(clock, new SeededRandom(SEED));
    const metrics = new FakeLeaderMetrics();
    const agreement = new FakeLogAgreement(fakeLog);
    const log = new SchedulingLog({ agreement, clock, metrics });
    return { clock, fakeLog, metrics, log };
  }

  // Guards against slow commits that no metric shows.
  it("records the time of a commit", async () => {
    const { clock, fakeLog, metrics, log } = setUp();
    fakeLog.setFaults({ maxDelayMs: MAX_DELAY_MS });
    await clock.runUntil(log.propose([]), MAX_DELAY_MS);
    const tookMs = clock.monotonicMs();
    assert.ok(tookMs > 0);
    assert.equal(metrics.commits, [{ outcome: "applied", tookMs }]);
  });

  it("records a refused proposal by its error kind", async () => {
    const { fakeLog, metrics, log } = setUp();
    fakeLog.setFaults({ refusedPercent: MAX_PERCENT });
    await log.propose([]);
    assert.equal(metrics.commits, [{ outcome: "notLeader", tookMs: 0 }]);
  });
});
