import * as assert from "uvu/assert";
import * as v from "valibot";
import { SeededRandom } from "../../adapters/random/index.ts";
import { jobStepSchema } from "../../domain/index.ts";
import { describe, it } from "../../testing/describe.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { SchedulingWorld } from "../../testing/scheduling_world.ts";

const SEED = 20_271;
const VM_NAMES = ["r1", "r2", "r3", "r4", "r5"];
const WAVE_VMS = ["r1", "r2", "r3", "r4"];
const MAX_AWAY = 2;
const COMPLETE_BY_MS = 60_000;
const JOB_ID = "00000000000000ab";

async function startWave(): Promise<SchedulingWorld> {
  const world = new SchedulingWorld({
    clock: new FakeClock(),
    random: new SeededRandom(SEED),
    runnerIds: VM_NAMES,
    hasVms: true,
  });
  world.changeLeader();
  await world.clock.advance(2_000);
  void world.submit(JOB_ID, [v.parse(jobStepSchema, {
    taskCount: 3,
    needs: { cpuMillicores: 2_000 },
    isEndless: true,
    maxPerRunner: 1,
    maxAwayCount: 1,
  })]);
  await world.clock.advance(1_000);
  world.apply({
    type: "scheduling",
    atMs: world.clock.nowMs(),
    operations: [{
      type: "wave",
      waveId: 1,
      vms: WAVE_VMS,
      maxAwayCount: MAX_AWAY,
      completeByMs: world.clock.nowMs() + COMPLETE_BY_MS,
    }],
  });
  return world;
}

function isWaveDone(world: SchedulingWorld): boolean {
  const progress = world.state.scheduling.waves.get(1)?.progress ?? {};
  return WAVE_VMS.every((vm) => progress[vm] === "done");
}

async function finish(world: SchedulingWorld): Promise<void> {
  for (let at = 0; at < COMPLETE_BY_MS && !isWaveDone(world); at += 500) {
    await world.clock.advance(500);
  }
  await world.stop();
}

function checkOnceEach(world: SchedulingWorld): void {
  assert.ok(isWaveDone(world), "the wave is done in time");
  const begun = world.vms?.begun.map(({ vm }) => vm) ?? [];
  assert.equal(begun.toSorted(), WAVE_VMS);
  const maxAwayCount = world.vms?.maxAwayCount ?? 0;
  assert.ok(maxAwayCount <= MAX_AWAY, `${maxAwayCount} VMs were away at once`);
}

describe("a wave of upkeep", () => {
  it("takes each VM once, within its number", async () => {
    const world = await startWave();
    await finish(world);
    checkOnceEach(world);
  });

  // Pattern: the leader is lost after its order was carried out, before the
  // answer; the next one must not begin more upkeeps than the wave allows.
  it("goes on under a leader that does not know what was answered", async () => {
    const world = await startWave();
    const { vms } = world;
    assert.ok(vms);
    vms.losesAnswers = true;
    for (let at = 0; at < COMPLETE_BY_MS && vms.begun.length === 0; at += 10) {
      await world.clock.advance(10);
    }
    world.changeLeader();
    await world.clock.advance(300);
    world.changeLeader();
    vms.losesAnswers = false;
    await finish(world);
    checkOnceEach(world);
  });

  it("goes on when every answer is lost for a while", async () => {
    const world = await startWave();
    const { vms } = world;
    assert.ok(vms);
    vms.losesAnswers = true;
    await world.clock.advance(8_000);
    vms.losesAnswers = false;
    await finish(world);
    checkOnceEach(world);
  });

  it("ends no more endless tasks than may be away", async () => {
    const world = await startWave();
    await finish(world);
    const spans = world.runners.spans.filter(({ task }) =>
      task.startsWith(JOB_ID)
    );
    const ends = spans.filter(({ how }) => how !== "runs");
    assert.ok(ends.length > 0, "some tasks had to move");
    for (const { toMs } of ends) {
      const awayCount = 3 -
        spans.filter((span) => span.fromMs <= toMs && span.toMs > toMs).length;
      assert.ok(awayCount <= 1, `${awayCount} tasks were away at ${toMs}`);
    }
  });
});
