import * as assert from "uvu/assert";
import * as v from "valibot";
import { SeededRandom } from "../../adapters/random/index.ts";
import { jobStepSchema } from "../../domain/index.ts";
import { describe, it } from "../../testing/describe.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { SchedulingFixture } from "../../testing/scheduling_fixture.ts";
import { VM_GONE_MS } from "./timing.ts";

const SEED = 20_483;
const JOB_ID = "00000000000000ab";
const WAVE_MS = 60_000;
/** Time for which a VM is down: less than one that counts as gone (ms). */
const DOWN_MS = 8_000;
/** Time by which the leader's wall clock is set ahead, past the deadline (ms). */
const CLOCK_STEP_MS = 70_000;
const STEP = v.parse(jobStepSchema, {
  taskCount: 3,
  needs: { cpuMillicores: 2_000 },
  isEndless: true,
  maxAwayCount: 1,
});

async function setUp() {
  const fixture = new SchedulingFixture({
    clock: new FakeClock(),
    random: new SeededRandom(SEED),
    runnerIds: ["r1", "r2", "r3"],
    hasVms: true,
  });
  const { clock, runners, vms } = fixture;
  assert.ok(vms);
  fixture.changeLeader();
  await clock.advance(2_000);
  return { clock, fixture, runners, vms };
}

function startWave(
  fixture: SchedulingFixture,
  waveId: number,
  vms: string[],
  durationMs: number,
): void {
  const atMs = fixture.clock.nowMs();
  const completeByMs = atMs + durationMs;
  fixture.apply({
    type: "scheduling",
    atMs,
    operations: [{ type: "wave", waveId, vms, maxAwayCount: 1, completeByMs }],
  });
}

describe("a VM that lists leave out", () => {
  describe("while its runner works", () => {
    // Guards against ending more tasks of a step than may be unavailable: a
    // leader that has never seen the VM's runner listed ordered the VM as an
    // empty one.
    it("is not maintained while too many tasks of a step run on it", async () => {
      const { clock, fixture, runners, vms } = await setUp();
      void fixture.submit(JOB_ID, [STEP]);
      await clock.advance(1_000);
      const vm = runners.spans[0]?.runnerId ?? "";
      assert.ok(runners.spans.every(({ runnerId }) => runnerId === vm));
      vms.unlistedVms.add(vm);
      fixture.changeLeader();
      startWave(fixture, 1, [vm], WAVE_MS);
      await clock.advance(2 * VM_GONE_MS);
      await fixture.stop();
      const lostAtMs = runners.spans.filter(({ how }) => how === "lost")
        .map(({ toMs }) => toMs);
      assert.is(new Set(lostAtMs).size, lostAtMs.length, "one task at a time");
    });
  });

  describe("while it is down", () => {
    // Guards against a wave that is complete without the maintenance of a VM: a
    // step of the leader's wall clock counted as time without the VM in a list.
    it("is still maintained when the leader's clock is set ahead", async () => {
      const { clock, fixture, vms } = await setUp();
      const names = ["r1", "r2"];
      vms.downVms.add("r1");
      fixture.crash("r1");
      startWave(fixture, 1, names, WAVE_MS);
      await clock.advance(DOWN_MS / 2);
      fixture.setLeaderClockAhead(CLOCK_STEP_MS);
      await clock.advance(DOWN_MS / 2);
      vms.downVms.delete("r1");
      fixture.startRunner("r1");
      await clock.advance(WAVE_MS);
      await fixture.stop();
      const maintained = vms.startedMaintenances.map((started) => started.vm);
      assert.equal(maintained.toSorted(), names);
    });
  });

  describe("in several waves", () => {
    // Guards against a wave that is complete without the maintenance of a VM: the
    // VM counted as gone while it was in maintenance for another wave, for which
    // the platform refused the order of this one.
    it("is maintained for each of them", async () => {
      const { clock, fixture, vms } = await setUp();
      vms.unlistedVms.add("r1");
      fixture.changeLeader();
      await clock.advance(2_000);
      startWave(fixture, 1, ["r1"], VM_GONE_MS / 2);
      startWave(fixture, 2, ["r1"], VM_GONE_MS / 2);
      await clock.advance(6 * VM_GONE_MS);
      await fixture.stop();
      assert.equal(vms.startedMaintenances.map(({ waveId }) => waveId), [1, 2]);
      for (const { progress } of fixture.state.scheduling.waves.values()) {
        assert.is(progress["r1"], "done");
      }
    });
  });

  describe("after its order was refused", () => {
    // Guards against a wave that is complete without the maintenance of a VM: a
    // refusal from before the VM was missing counted as proof that it is gone.
    it("is ordered again before it counts as gone", async () => {
      const { clock, fixture, vms } = await setUp();
      vms.busyVms.add("r1");
      startWave(fixture, 1, ["r1"], VM_GONE_MS);
      await clock.advance(3_000);
      assert.ok(vms.requests.length > 0, "an order was refused");
      vms.busyVms.delete("r1");
      vms.unlistedVms.add("r1");
      fixture.crash("r1");
      await clock.advance(4 * VM_GONE_MS);
      await fixture.stop();
      assert.is(vms.startedMaintenances.length, 1);
    });
  });
});
