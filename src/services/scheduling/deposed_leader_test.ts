import * as assert from "uvu/assert";
import * as v from "valibot";
import { SeededRandom } from "../../adapters/random/index.ts";
import { jobStepSchema } from "../../domain/index.ts";
import { describe, it } from "../../testing/describe.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { SchedulingFixture } from "../../testing/scheduling_fixture.ts";
import { checkNeverTwice } from "../../testing/run_span_checks.ts";

const SEED = 20_274;
const WORK_MS = 3_000;
const FORWARD_MS = 1_500;

function isPlaced({ state: { scheduling } }: SchedulingFixture): boolean {
  return [...scheduling.runners.values()].some((runner) =>
    scheduling.jobs.findLoad(runner).running.size > 0
  );
}

describe("a leader that is deposed", () => {
  // Guards against a task that runs twice at once: the deposed leader had found
  // a run lost, its proposal was forwarded to the next leader, and that leader
  // had started the run meanwhile.
  it("ends no run that the next leader has started", async () => {
    const fixture = new SchedulingFixture({
      clock: new FakeClock(),
      random: new SeededRandom(SEED),
      runnerIds: ["r1", "r2"],
    });
    const { clock, commits, runners } = fixture;
    fixture.changeLeader();
    await clock.advance(2_000);
    runners.unhealthyIds.add("r1");
    runners.unhealthyIds.add("r2");
    const step = { taskCount: 1, needs: {}, estimateMs: WORK_MS };
    void fixture.submit("0".repeat(16), [v.parse(jobStepSchema, step)]);
    while (!isPlaced(fixture)) {
      await clock.advance(1);
    }
    commits.pause();
    await clock.advance(1_500);
    fixture.forwardMs = FORWARD_MS;
    fixture.changeLeader();
    commits.resume();
    runners.unhealthyIds.clear();
    await clock.advance(2 * WORK_MS);
    runners.advanceAll();
    assert.ok(runners.spans.length > 0);
    checkNeverTwice(runners.spans);
    await fixture.stop();
  });
});
