import * as assert from "uvu/assert";
import * as v from "valibot";
import { SeededRandom } from "../../adapters/random/index.ts";
import { jobStepSchema, type Runner } from "../../domain/index.ts";
import { describe, it } from "../../testing/describe.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { SchedulingFixture } from "../../testing/scheduling_fixture.ts";

const SEED = 20_411;
const JOB_ID = "0000000000000001";
const STEP = v.parse(jobStepSchema, {
  taskCount: 1,
  needs: { cpuMillicores: 500 },
  estimateMs: 300,
});

async function setUp(): Promise<{ fixture: SchedulingFixture; known: Runner }> {
  const fixture = new SchedulingFixture({
    clock: new FakeClock(),
    random: new SeededRandom(SEED),
    runnerIds: ["r1"],
  });
  fixture.changeLeader();
  await fixture.clock.advance(2_000);
  const known = fixture.state.scheduling.runners.get("r1");
  assert.ok(known);
  return { fixture, known };
}

describe("announcements that another writer sends under a runner's id", () => {
  const DAY_MS = 86_400_000;
  const changes: readonly ((nowMs: number) => Partial<Runner>)[] = [
    () => ({ bornAtMs: 1e300 }),
    (nowMs) => ({ bornAtMs: Math.round(nowMs) + 2 * DAY_MS }),
    () => ({ bornAtMs: 1_000, address: "10.0.0.9:99999" }),
    () => ({ bornAtMs: 1_000, address: "a[b:8080" }),
  ];

  // Guards against a sound runner that is shut out until the end of the day.
  changes.forEach((createChange, at) => {
    it(`leave the runner in use (${at + 1})`, async () => {
      const { fixture, known } = await setUp();
      const { clock, state } = fixture;
      const odd = { ...known, ...createChange(clock.nowMs()) };
      const announced = clock.runUntil(fixture.announce(odd), 5_000);
      assert.not(await announced, "the announcement is refused");
      void fixture.submit(JOB_ID, [STEP]);
      await clock.advance(2_000);
      assert.equal(state.scheduling.runners.get("r1"), known);
      assert.is(state.scheduling.jobs.find(JOB_ID)?.outcome, "completed");
      await fixture.stop();
    });
  });
});

describe("a stored runner whose requests throw an error", () => {
  // Guards against halves of a runner's task that pile up, one for each
  // restart of the task.
  it("has one task at a time, and the others get work", async () => {
    const { fixture, known } = await setUp();
    const { clock, runners, state } = fixture;
    const odd: Runner = { ...known, runnerId: "odd", address: "a[b:8080" };
    let pollingCount = 0;
    const poll = runners.poll.bind(runners);
    runners.poll = (runner, request) => {
      if (runner.runnerId !== "odd") {
        return poll(runner, request);
      }
      pollingCount += 1;
      throw new TypeError("Invalid URL");
    };
    fixture.apply({
      type: "scheduling",
      atMs: clock.nowMs(),
      operations: [{ type: "runner", runner: odd }],
    });
    const waitingCount = clock.timerCount;
    await clock.advance(20_000);
    assert.ok(pollingCount > 1, "the task was restarted");
    assert.ok(
      clock.timerCount <= waitingCount + 5,
      `${clock.timerCount} timers instead of ${waitingCount}`,
    );
    void fixture.submit(JOB_ID, [STEP]);
    await clock.advance(2_000);
    assert.is(state.scheduling.jobs.find(JOB_ID)?.outcome, "completed");
    await fixture.stop();
  });
});
