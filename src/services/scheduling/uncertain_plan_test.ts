import * as assert from "uvu/assert";
import * as v from "valibot";
import { SeededRandom } from "../../adapters/random/index.ts";
import {
  type PlanInput,
  type PlannedStart,
  ScoredPlacementPolicy,
  SlackOrderPolicy,
  StartPlanner,
} from "../../decisions/index.ts";
import { jobStepSchema } from "../../domain/index.ts";
import { describe, it } from "../../testing/describe.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { SchedulingFixture } from "../../testing/scheduling_fixture.ts";

const SEED = 20_276;
/** More than half of a runner. */
const TASK_MILLICORES = 5_000;
/** Longer than a proposal waits for its commit (ms). */
const STALL_MS = 6_000;

/** Plans the last of the tasks that fit first in every second plan. */
class ChangingPlanner extends StartPlanner {
  #planCount = 0;

  override plan(input: PlanInput): PlannedStart[] {
    const [start] = super.plan(input);
    if (start === undefined) {
      return [];
    }
    this.#planCount += 1;
    const { task } = start;
    return [{ ...start, task: { ...task, index: this.#planCount % 2 } }];
  }
}

describe("a plan whose outcome is unknown", () => {
  // Guards against a runner with more work than it can hold: a plan was made on
  // a state in which an earlier one, applied later, was missing.
  it("is settled before the next plan is made", async () => {
    const fixture = new SchedulingFixture({
      clock: new FakeClock(),
      random: new SeededRandom(SEED),
      runnerIds: ["r1"],
      planner: new ChangingPlanner({
        order: new SlackOrderPolicy(),
        placement: new ScoredPlacementPolicy(),
      }),
    });
    const { clock, commits, state: { scheduling } } = fixture;
    fixture.changeLeader();
    await clock.advance(2_000);
    const step = v.parse(jobStepSchema, {
      taskCount: 2,
      needs: { cpuMillicores: TASK_MILLICORES },
      isEndless: true,
    });
    void fixture.submit("0".repeat(16), [step]);
    while (scheduling.jobs.open.size === 0) {
      await clock.advance(1);
    }
    commits.pause();
    await clock.advance(STALL_MS);
    commits.resume();
    await clock.advance(STALL_MS);
    const [runner] = scheduling.runners.values();
    assert.ok(runner);
    assert.is(
      scheduling.jobs.findLoad(runner).used.cpuMillicores,
      TASK_MILLICORES,
    );
    await fixture.stop();
  });
});
