import * as assert from "uvu/assert";
import * as v from "valibot";
import { SeededRandom } from "../../adapters/random/index.ts";
import { jobStepSchema } from "../../domain/index.ts";
import { describe, it } from "../../testing/describe.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { SchedulingFixture } from "../../testing/scheduling_fixture.ts";

const SEED = 20_271;
const VM_NAMES = ["r1", "r2", "r3", "r4", "r5"];
const WAVE_VMS = ["r1", "r2", "r3", "r4"];
const MAX_UNAVAILABLE = 2;
const COMPLETE_BY_MS = 60_000;
const JOB_ID = "00000000000000ab";

async function startWave(): Promise<SchedulingFixture> {
  const fixture = new SchedulingFixture({
    clock: new FakeClock(),
    random: new SeededRandom(SEED),
    runnerIds: VM_NAMES,
    hasVms: true,
  });
  fixture.changeLeader();
  await fixture.clock.advance(2_000);
  void fixture.submit(JOB_ID, [v.parse(jobStepSchema, {
    taskCount: 3,
    needs: { cpuMillicores: 2_000 },
    isEndless: true,
    maxPerRunner: 1,
    maxAwayCount: 1,
  })]);
  await fixture.clock.advance(1_000);
  fixture.apply({
    type: "scheduling",
    atMs: fixture.clock.nowMs(),
    operations: [{
      type: "wave",
      waveId: 1,
      vms: WAVE_VMS,
      maxAwayCount: MAX_UNAVAILABLE,
      completeByMs: fixture.clock.nowMs() + COMPLETE_BY_MS,
    }],
  });
  return fixture;
}

function isWaveDone(fixture: SchedulingFixture): boolean {
  const progress = fixture.state.scheduling.waves.get(1)?.progress ?? {};
  return WAVE_VMS.every((vm) => progress[vm] === "done");
}

async function finish(fixture: SchedulingFixture): Promise<void> {
  for (let at = 0; at < COMPLETE_BY_MS && !isWaveDone(fixture); at += 500) {
    await fixture.clock.advance(500);
  }
  await fixture.stop();
}

function checkEachVmOnce(fixture: SchedulingFixture): void {
  assert.ok(isWaveDone(fixture), "the wave is complete in time");
  const begun = fixture.vms?.startedMaintenances.map(({ vm }) => vm) ?? [];
  assert.equal(begun.toSorted(), WAVE_VMS);
  const maxUnavailableCount = fixture.vms?.maxUnavailableCount ?? 0;
  assert.ok(
    maxUnavailableCount <= MAX_UNAVAILABLE,
    `${maxUnavailableCount} VMs were unavailable at once`,
  );
}

describe("a maintenance wave", () => {
  it("maintains each VM once, within its limit", async () => {
    const fixture = await startWave();
    await finish(fixture);
    checkEachVmOnce(fixture);
  });

  // Guards against exceeding the wave's limit: the leader is lost after its
  // request was carried out and before the answer arrives, so that the next
  // leader does not know the outcome.
  it("continues under a leader that does not know the outcome", async () => {
    const fixture = await startWave();
    const { vms } = fixture;
    assert.ok(vms);
    vms.losesAnswers = true;
    for (
      let at = 0;
      at < COMPLETE_BY_MS && vms.startedMaintenances.length === 0;
      at += 10
    ) {
      await fixture.clock.advance(10);
    }
    fixture.changeLeader();
    await fixture.clock.advance(300);
    fixture.changeLeader();
    vms.losesAnswers = false;
    await finish(fixture);
    checkEachVmOnce(fixture);
  });

  it("continues when every answer is lost for a while", async () => {
    const fixture = await startWave();
    const { vms } = fixture;
    assert.ok(vms);
    vms.losesAnswers = true;
    await fixture.clock.advance(8_000);
    vms.losesAnswers = false;
    await finish(fixture);
    checkEachVmOnce(fixture);
  });

  it("ends no more long-running tasks than may be unavailable", async () => {
    const fixture = await startWave();
    await finish(fixture);
    const spans = fixture.runners.spans.filter(({ task }) =>
      task.startsWith(JOB_ID)
    );
    const ends = spans.filter(({ how }) => how !== "runs");
    assert.ok(ends.length > 0, "some tasks had to move");
    for (const { toMs } of ends) {
      const unavailableCount = 3 -
        spans.filter((span) => span.fromMs <= toMs && span.toMs > toMs).length;
      assert.ok(
        unavailableCount <= 1,
        `${unavailableCount} tasks were unavailable at ${toMs}`,
      );
    }
  });
});
