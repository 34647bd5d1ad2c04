import * as assert from "uvu/assert";
import * as v from "valibot";
import { SeededRandom } from "../../adapters/random/index.ts";
import { jobStepSchema, type SchedulingCommand } from "../../domain/index.ts";
import { describe, it } from "../../testing/describe.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { SchedulingFixture } from "../../testing/scheduling_fixture.ts";
import { CONFIRM_TICK_MS } from "./timing.ts";

const SEED = 20_278;
const TASK_COUNT = 6;
const LONG_MS = 30_000;

async function setUp() {
  const fixture = new SchedulingFixture({
    clock: new FakeClock(),
    random: new SeededRandom(SEED),
    runnerIds: ["r1", "r2"],
  });
  const confirmations: SchedulingCommand[] = [];
  const apply = fixture.apply.bind(fixture);
  fixture.apply = (command) => {
    if (
      command.type === "scheduling" &&
      command.operations.some(({ type }) => type === "confirm")
    ) {
      confirmations.push(command);
    }
    return apply(command);
  };
  fixture.changeLeader();
  await fixture.clock.advance(2_000);
  const submit = (jobId: string) =>
    fixture.submit(jobId.repeat(16), [v.parse(jobStepSchema, {
      taskCount: TASK_COUNT,
      needs: { cpuMillicores: 2_000 },
      isEndless: true,
    })]);
  return { fixture, confirmations, submit };
}

describe("the leader's confirmations", () => {
  // Guards against an entry of the log for each start.
  it("take one entry for many starts, and none without a start", async () => {
    const { fixture, confirmations, submit } = await setUp();
    const { clock, state: { scheduling } } = fixture;
    void submit("0");
    await clock.advance(2 * CONFIRM_TICK_MS);
    assert.is(confirmations.length, 1);
    assert.is(scheduling.jobs.unconfirmed.list().length, 0);
    await clock.advance(LONG_MS);
    assert.is(confirmations.length, 1);
    await fixture.stop();
  });

  // Guards against a task that runs twice at once: the next leader would not
  // wait for a start that a successor of the runner may have carried out.
  it("leave out the starts that a runner has not answered", async () => {
    const { fixture, submit } = await setUp();
    const { clock, runners, state: { scheduling } } = fixture;
    runners.cutIds.add("r1");
    void submit("0");
    await clock.advance(2 * CONFIRM_TICK_MS);
    const { jobs } = scheduling;
    const lives = jobs.unconfirmed.list().map(({ task }) =>
      jobs.find(task.jobId)?.findTask(task)?.life?.runnerId
    );
    assert.ok(lives.length > 0 && lives.length < TASK_COUNT);
    assert.ok(lives.every((runnerId) => runnerId === "r1"));
    await fixture.stop();
  });
});
