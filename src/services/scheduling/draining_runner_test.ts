import * as assert from "uvu/assert";
import * as v from "valibot";
import { SeededRandom } from "../../adapters/random/index.ts";
import { jobStepSchema } from "../../domain/index.ts";
import { describe, it } from "../../testing/describe.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { SchedulingFixture } from "../../testing/scheduling_fixture.ts";

const SEED = 20_272;
const ARRIVAL_MS = 40;
const WORK_MS = 400;
const JOB_COUNT = 60;
const ANNOUNCE_MS = 200;
/** Shorter than a write to the log takes. */
const NO_WRITE_MS = 1;
/** Time in which starts placed before the announcement may still arrive. */
const IN_FLIGHT_MS = 60;

// Guards against placing work on a draining runner: short jobs keep arriving
// while a runner announces that it drains.
describe("steady arrivals while a runner drains", () => {
  let jobCount = 0;

  async function submitJobs(
    fixture: SchedulingFixture,
    count: number,
  ): Promise<void> {
    for (let at = 0; at < count; at += 1) {
      jobCount += 1;
      const steps = [v.parse(jobStepSchema, {
        taskCount: 1,
        needs: { cpuMillicores: 500 },
        estimateMs: WORK_MS,
      })];
      void fixture.submit(String(jobCount).padStart(16, "0"), steps);
      await fixture.clock.advance(ARRIVAL_MS);
    }
  }

  async function drainUnderLoad(fixture: SchedulingFixture): Promise<number> {
    fixture.changeLeader();
    await fixture.clock.advance(2_000);
    await submitJobs(fixture, JOB_COUNT);
    const isAnnounced = await fixture.clock.runUntil(
      fixture.drain("r1"),
      ANNOUNCE_MS,
    );
    assert.ok(isAnnounced, "the leader recorded the announcement");
    return fixture.clock.monotonicMs();
  }

  function listStartsOn(fixture: SchedulingFixture, runnerId: string) {
    return fixture.runners.spans.filter((span) => span.runnerId === runnerId);
  }

  function createFixture(): SchedulingFixture {
    return new SchedulingFixture({
      clock: new FakeClock(),
      random: new SeededRandom(SEED),
      runnerIds: ["r1", "r2"],
    });
  }

  it("starts no more runs there and lets current runs end", async () => {
    const fixture = createFixture();
    const drainedAtMs = await drainUnderLoad(fixture);
    assert.ok(listStartsOn(fixture, "r1").length > 0, "r1 had work");
    await submitJobs(fixture, JOB_COUNT);
    await fixture.stop();
    fixture.runners.advanceAll();
    const onDraining = listStartsOn(fixture, "r1");
    const late = onDraining.filter(({ fromMs }) =>
      fromMs > drainedAtMs + IN_FLIGHT_MS
    );
    assert.equal(late, []);
    assert.ok(onDraining.every(({ how }) => how === "done"));
    assert.ok(
      listStartsOn(fixture, "r2").some(({ fromMs }) => fromMs > drainedAtMs),
    );
  });

  it("is respected by the next leader too", async () => {
    const fixture = createFixture();
    const drainedAtMs = await drainUnderLoad(fixture);
    fixture.changeLeader();
    await submitJobs(fixture, JOB_COUNT);
    await fixture.stop();
    const late = listStartsOn(fixture, "r1").filter(({ fromMs }) =>
      fromMs > drainedAtMs + IN_FLIGHT_MS
    );
    assert.equal(late, []);
  });

  // Guards against placing work on a draining runner: an announcement from
  // before the drain arrives after it.
  it("ignores an announcement that was delayed from before", async () => {
    const fixture = createFixture();
    const drainedAtMs = await drainUnderLoad(fixture);
    const known = fixture.state.scheduling.runners.get("r1");
    assert.ok(known);
    const announced = fixture.announce({ ...known, isDraining: false });
    assert.ok(
      await fixture.clock.runUntil(announced, NO_WRITE_MS),
      "the announcement is acknowledged without a write",
    );
    assert.equal(fixture.state.scheduling.runners.get("r1"), known);
    await submitJobs(fixture, JOB_COUNT);
    await fixture.stop();
    const late = listStartsOn(fixture, "r1").filter(({ fromMs }) =>
      fromMs > drainedAtMs + IN_FLIGHT_MS
    );
    assert.equal(late, []);
  });
});
