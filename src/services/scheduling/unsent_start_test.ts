import * as assert from "uvu/assert";
import * as v from "valibot";
import { SeededRandom } from "../../adapters/random/index.ts";
import { jobStepSchema } from "../../domain/index.ts";
import { describe, it } from "../../testing/describe.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { SchedulingFixture } from "../../testing/scheduling_fixture.ts";

const SEED = 20_331;
const JOB_ID = "0000000000000001";
const RUNNER_ID = "r1";
/** Time for a poll and a start, in milliseconds. */
const START_MS = 50;

describe("a run that the previous leader logged and did not send", () => {
  // Guards against a pause of up to one second between the first answer of a
  // runner and the starts that wait for it.
  it("starts as soon as its runner has answered", async () => {
    const fixture = new SchedulingFixture({
      clock: new FakeClock(),
      random: new SeededRandom(SEED),
      runnerIds: [RUNNER_ID],
    });
    const { clock, commits, runners, state: { scheduling } } = fixture;
    fixture.changeLeader();
    await clock.advance(2_000);
    const steps = [
      v.parse(jobStepSchema, {
        taskCount: 1,
        needs: { cpuMillicores: 500 },
        estimateMs: 300,
      }),
    ];
    await clock.runUntil(fixture.submit(JOB_ID, steps), 1_000);
    commits.pause();
    await clock.advance(10);
    assert.is(runners.spans.length, 0);
    const runner = scheduling.runners.get(RUNNER_ID);
    assert.ok(runner);
    fixture.apply({
      type: "scheduling",
      atMs: clock.nowMs(),
      operations: [{
        type: "start",
        task: { jobId: JOB_ID, occurrence: 0, step: 0, index: 0 },
        runNumber: 1,
        runnerId: RUNNER_ID,
        bornAtMs: runner.bornAtMs,
      }],
    });
    fixture.changeLeader();
    commits.resume();
    await clock.advance(START_MS);
    const startedCount = runners.spans.length;
    await fixture.stop();
    assert.is(startedCount, 1);
  });
});
