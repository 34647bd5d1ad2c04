import { Result } from "true-myth";
import * as assert from "uvu/assert";
import * as v from "valibot";
import { SeededRandom } from "../../adapters/random/index.ts";
import { jobStepSchema } from "../../domain/index.ts";
import { describe, it } from "../../testing/describe.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { SchedulingFixture } from "../../testing/scheduling_fixture.ts";

const SEED = 20_311;
const WORK_MS = 300;
const START_TIMEOUT_MS = 700;
const FIRST_JOB_ID = "0000000000000001";
const SECOND_JOB_ID = "0000000000000002";

function createSteps() {
  return [v.parse(jobStepSchema, {
    taskCount: 1,
    needs: { cpuMillicores: 500 },
    estimateMs: WORK_MS,
  })];
}

// Guards against a sound runner that gets no work for as long as a leader
// leads: the answer to a start was lost, the run was over before that timed
// out, and an idle runner was not polled again.
describe("a runner that is idle when a request to it times out", () => {
  it("gets work again", async () => {
    const fixture = new SchedulingFixture({
      clock: new FakeClock(),
      random: new SeededRandom(SEED),
      runnerIds: ["r1"],
    });
    const { clock, runners } = fixture;
    fixture.changeLeader();
    await clock.advance(2_000);
    const start = runners.start.bind(runners);
    let isFirst = true;
    runners.start = async (runner, request) => {
      const answer = await start(runner, request);
      if (!isFirst) {
        return answer;
      }
      isFirst = false;
      await clock.sleep(START_TIMEOUT_MS);
      return Result.err({ message: "no answer" });
    };
    void fixture.submit(FIRST_JOB_ID, createSteps());
    await clock.advance(2_000);
    const { jobs } = fixture.state.scheduling;
    assert.is(jobs.find(FIRST_JOB_ID)?.outcome, "completed");
    void fixture.submit(SECOND_JOB_ID, createSteps());
    await clock.advance(20_000);
    assert.is(jobs.find(SECOND_JOB_ID)?.outcome, "completed");
    await fixture.stop();
  });
});
