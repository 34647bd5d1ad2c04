import * as assert from "uvu/assert";
import * as v from "valibot";
import { SeededRandom } from "../../adapters/random/index.ts";
import { jobStepSchema } from "../../domain/index.ts";
import { describe, it } from "../../testing/describe.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import type { RunSpan } from "../../testing/fake_runner_incarnation.ts";
import type { FakeVms } from "../../testing/fake_vms.ts";
import { SchedulingFixture } from "../../testing/scheduling_fixture.ts";
import { WAVE_TICK_MS } from "./timing.ts";

const SEED = 20_271;
const VM_NAMES = ["r1", "r2", "r3", "r4", "r5"];
const WAVE_VMS = ["r1", "r2", "r3", "r4"];
const MAX_UNAVAILABLE = 2;
const COMPLETE_BY_MS = 60_000;
/** Time for which the list of VMs has gaps, in milliseconds. */
const GAP_MS = 2_000;
/** Time for which a VM is down, in milliseconds. */
const DOWN_MS = 15_000;
/** Time of a wave of which one VM is gone, in milliseconds. */
const GONE_WAVE_MS = 24_000;
/** Time after the deadline in which such a wave has to be complete (ms). */
const GONE_SLACK_MS = 3_000;
/** Time until a long-running task is at full work, in milliseconds. */
const STARTUP_MS = 900;
/** Two seconds for each task that has to move, in milliseconds. */
const ONE_BY_ONE_WAVE_MS = 2 * WAVE_VMS.length * 2_000;
const JOB_ID = "00000000000000ab";
/** Longer than the answer of the VM control takes. */
const POLL_ANSWER_DELAY_MS = 300;
/** Too short to wait until no VM of the wave has work. */
const SHORT_WAVE_MS = 4_000;
/** More work than the VMs carry out in that time, so that none is ever idle. */
const SHORT_JOB_COUNT = 80;
const JOBS_BEFORE_WAVE_COUNT = 20;
const SHORT_JOB_INTERVAL_MS = 50;
const SHORT_JOB_SPREAD_MS = 37;
const SHORT_STEP = v.parse(jobStepSchema, {
  taskCount: 8,
  needs: { cpuMillicores: 1_000 },
});

function createFixture(): SchedulingFixture {
  return new SchedulingFixture({
    clock: new FakeClock(),
    random: new SeededRandom(SEED),
    runnerIds: VM_NAMES,
    hasVms: true,
  });
}

async function startWave(
  durationMs = COMPLETE_BY_MS,
): Promise<SchedulingFixture> {
  const fixture = createFixture();
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
  startWaveNow(fixture, durationMs);
  return fixture;
}

function startWaveNow(
  fixture: SchedulingFixture,
  durationMs: number,
  vms: readonly string[] = WAVE_VMS,
): void {
  const atMs = fixture.clock.nowMs();
  fixture.apply({
    type: "scheduling",
    atMs,
    operations: [{
      type: "wave",
      waveId: 1,
      vms: [...vms],
      maxAwayCount: MAX_UNAVAILABLE,
      completeByMs: atMs + durationMs,
    }],
  });
}

// Returns the runs of a wave that has no time to wait until its VMs are empty.
async function runBusyWave(delayMs: number): Promise<RunSpan[]> {
  const fixture = createFixture();
  fixture.changeLeader();
  await fixture.clock.advance(2_000 + delayMs);
  fixture.runners.pollAnswerDelayMs = POLL_ANSWER_DELAY_MS;
  for (let count = 0; count < SHORT_JOB_COUNT; count += 1) {
    if (count === JOBS_BEFORE_WAVE_COUNT) {
      startWaveNow(fixture, SHORT_WAVE_MS);
    }
    const jobId = String(delayMs * 1_000 + count).padStart(16, "0");
    const estimateMs = 200 + (count * SHORT_JOB_SPREAD_MS) % 400;
    void fixture.submit(jobId, [{ ...SHORT_STEP, estimateMs }]);
    await fixture.clock.advance(SHORT_JOB_INTERVAL_MS);
  }
  await finish(fixture);
  assert.ok(isWaveDone(fixture), "the wave is complete in time");
  return fixture.runners.spans;
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

// Of the tasks of the job, one at most may be unavailable.
function checkUnavailableTasks(fixture: SchedulingFixture): void {
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
}

describe("a maintenance wave", () => {
  it("maintains each VM once, within its limit", async () => {
    const fixture = await startWave();
    await finish(fixture);
    checkEachVmOnce(fixture);
  });

  // The pattern: VMs with two tasks each of a step of which one may be
  // unavailable, so that all of them move one after the other.
  it("is in time although the tasks of a step move one by one", async () => {
    const fixture = new SchedulingFixture({
      clock: new FakeClock(),
      random: new SeededRandom(SEED),
      runnerIds: Array.from({ length: 12 }, (_, index) => `r${index + 1}`),
      hasVms: true,
    });
    fixture.runners.startupMs = STARTUP_MS;
    fixture.changeLeader();
    await fixture.clock.advance(2_000);
    void fixture.submit(JOB_ID, [v.parse(jobStepSchema, {
      taskCount: 2 * WAVE_VMS.length,
      needs: { cpuMillicores: 2_000 },
      isEndless: true,
      maxPerRunner: 2,
      maxAwayCount: 1,
    })]);
    await fixture.clock.advance(3_000);
    const hosts = new Set(
      fixture.runners.spans.map(({ runnerId }) => runnerId),
    );
    assert.is(hosts.size, WAVE_VMS.length);
    startWaveNow(fixture, ONE_BY_ONE_WAVE_MS, [...hosts]);
    await fixture.clock.advance(ONE_BY_ONE_WAVE_MS);
    const { progress = {} } = fixture.state.scheduling.waves.get(1) ?? {};
    const doneCount = [...hosts].filter((vm) => progress[vm] === "done").length;
    await fixture.stop();
    assert.is(doneCount, hosts.size);
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
    checkUnavailableTasks(fixture);
  });

  // Guards against ending more tasks of a step than may be unavailable: a leader
  // was lost between logging an order and sending it, and the next leader sent
  // all such orders at once.
  it("ends no more of them for the orders that another leader logged", async () => {
    const fixture = await startWave();
    const busyVms = fixture.runners.spans.map(({ runnerId }) => runnerId)
      .filter((vm) => WAVE_VMS.includes(vm)).slice(0, MAX_UNAVAILABLE);
    assert.is(busyVms.length, MAX_UNAVAILABLE);
    fixture.apply({
      type: "scheduling",
      atMs: fixture.clock.nowMs(),
      operations: busyVms.map((vm) => ({
        type: "upkeep",
        waveId: 1,
        vm,
        state: "ordered",
      })),
    });
    fixture.changeLeader();
    await finish(fixture);
    checkUnavailableTasks(fixture);
    checkEachVmOnce(fixture);
  });

  describe("on a VM", () => {
    /** Lets the list of VMs have a gap while the wave is carried out. */
    async function runWithGap(
      change: (vms: FakeVms, isGap: boolean) => void,
    ): Promise<SchedulingFixture> {
      const fixture = await startWave();
      const { vms } = fixture;
      assert.ok(vms);
      change(vms, true);
      await fixture.clock.advance(GAP_MS);
      change(vms, false);
      await finish(fixture);
      return fixture;
    }

    function toggle(names: Set<string>, isGap: boolean): void {
      WAVE_VMS.slice(0, 2).forEach((vm) =>
        isGap ? names.add(vm) : names.delete(vm)
      );
    }

    // Guards against a wave that is complete without the maintenance of a VM: its
    // entry in the list could not be read for a while, and it was taken for gone.
    it("whose entry is unreadable for a while is still maintained", async () => {
      const fixture = await runWithGap((vms, isGap) =>
        toggle(vms.unreadableVms, isGap)
      );
      checkEachVmOnce(fixture);
    });

    it("that an incomplete list leaves out is still maintained", async () => {
      const fixture = await runWithGap((vms, isGap) => {
        toggle(vms.unlistedVms, isGap);
        vms.isListComplete = !isGap;
      });
      checkEachVmOnce(fixture);
    });

    it("that lists leave out while its runner is known is still maintained", async () => {
      const fixture = await startWave();
      const { vms } = fixture;
      assert.ok(vms);
      await fixture.clock.advance(WAVE_TICK_MS);
      toggle(vms.unlistedVms, true);
      await fixture.clock.advance(GAP_MS);
      toggle(vms.unlistedVms, false);
      await finish(fixture);
      checkEachVmOnce(fixture);
    });

    // Guards against ending more tasks of a step than may be unavailable: an
    // entry without a runner counted as that of an idle VM.
    it("whose entry names no runner for a while keeps its tasks", async () => {
      const fixture = await startWave();
      const { vms } = fixture;
      assert.ok(vms);
      WAVE_VMS.forEach((vm) => vms.emptyVms.add(vm));
      await fixture.clock.advance(GAP_MS);
      WAVE_VMS.forEach((vm) => vms.emptyVms.delete(vm));
      await finish(fixture);
      checkUnavailableTasks(fixture);
      checkEachVmOnce(fixture);
    });

    // Guards against ending more tasks of a step than may be unavailable: the
    // order of an earlier leader was sent again for a VM whose tasks the list did
    // not show.
    it("whose entry is unreadable keeps its tasks under the next leader", async () => {
      const fixture = await startWave();
      const { vms } = fixture;
      assert.ok(vms);
      const busyVms = fixture.runners.spans.map(({ runnerId }) => runnerId)
        .filter((vm) => WAVE_VMS.includes(vm)).slice(0, MAX_UNAVAILABLE);
      assert.is(busyVms.length, MAX_UNAVAILABLE);
      fixture.apply({
        type: "scheduling",
        atMs: fixture.clock.nowMs(),
        operations: busyVms.map((vm) => ({
          type: "upkeep",
          waveId: 1,
          vm,
          state: "ordered",
        })),
      });
      busyVms.forEach((vm) => vms.unreadableVms.add(vm));
      fixture.changeLeader();
      await fixture.clock.advance(GAP_MS);
      vms.unreadableVms.clear();
      await finish(fixture);
      checkUnavailableTasks(fixture);
      checkEachVmOnce(fixture);
    });

    describe("that is gone for good", () => {
      async function runWithoutOne(
        changeLeader: (fixture: SchedulingFixture) => void,
      ): Promise<SchedulingFixture> {
        const fixture = await startWave(GONE_WAVE_MS);
        const { vms } = fixture;
        assert.ok(vms);
        vms.goneVms.add("r1");
        fixture.crash("r1");
        await fixture.clock.advance(GONE_WAVE_MS / 4);
        changeLeader(fixture);
        await fixture.clock.advance(GONE_WAVE_MS * 3 / 4 - WAVE_TICK_MS);
        const { progress } = fixture.state.scheduling.waves.get(1) ?? {};
        const done = WAVE_VMS.filter((vm) => progress?.[vm] === "done");
        assert.equal(done, ["r2", "r3", "r4"], "the others are done in time");
        await fixture.clock.advance(WAVE_TICK_MS + GONE_SLACK_MS);
        assert.ok(isWaveDone(fixture), "the wave is complete");
        await fixture.stop();
        assert.not(vms.startedMaintenances.some(({ vm }) => vm === "r1"));
        return fixture;
      }

      it("completes the wave at its deadline", async () => {
        await runWithoutOne(() => {});
      });

      it("completes the wave at its deadline under the next leader", async () => {
        await runWithoutOne((fixture) => fixture.changeLeader());
      });

      // Guards against a wave that is complete long after its deadline.
      it("completes the wave at its deadline while its runner drains", async () => {
        const fixture = await startWave(GONE_WAVE_MS);
        const { vms } = fixture;
        assert.ok(vms);
        vms.refusedWaveIds.add(1);
        await fixture.clock.advance(2 * WAVE_TICK_MS);
        vms.refusedWaveIds.clear();
        vms.goneVms.add("r1");
        void fixture.drain("r1");
        await fixture.clock.advance(GONE_WAVE_MS + GONE_SLACK_MS);
        assert.ok(isWaveDone(fixture), "the wave is complete");
        await fixture.stop();
      });

      it("costs one order of a leader", async () => {
        const { logger } = await runWithoutOne(() => {});
        const refused = logger.lines.filter(({ message }) =>
          message === "failed to begin the maintenance of a VM"
        );
        assert.is(refused.length, 1);
      });
    });

    it("that lists leave out for good is maintained if the platform has it", async () => {
      const fixture = await startWave();
      const { vms } = fixture;
      assert.ok(vms);
      vms.unlistedVms.add("r1");
      fixture.crash("r1");
      await finish(fixture);
      checkEachVmOnce(fixture);
    });

    // Guards against more VMs in maintenance than the wave allows: those that
    // lists left out counted as done as soon as their orders were confirmed.
    it("that lists leave out for good counts while it is in maintenance", async () => {
      const fixture = createFixture();
      const { vms } = fixture;
      assert.ok(vms);
      fixture.changeLeader();
      await fixture.clock.advance(2_000);
      startWaveNow(fixture, COMPLETE_BY_MS);
      for (const vm of WAVE_VMS) {
        vms.unlistedVms.add(vm);
        fixture.crash(vm);
      }
      await finish(fixture);
      checkEachVmOnce(fixture);
    });

    // Guards against a wave that is complete without the maintenance of a VM: a
    // VM that lists left out while it was down was taken for gone.
    it("that lists leave out while it is down is still maintained", async () => {
      const fixture = await startWave();
      const { vms } = fixture;
      assert.ok(vms);
      vms.downVms.add("r1");
      fixture.crash("r1");
      await fixture.clock.advance(DOWN_MS);
      assert.not(isWaveDone(fixture));
      vms.downVms.delete("r1");
      fixture.startRunner("r1");
      await finish(fixture);
      checkEachVmOnce(fixture);
    });

    it("that was down under an earlier leader is still maintained", async () => {
      const fixture = await startWave();
      const { vms } = fixture;
      assert.ok(vms);
      vms.downVms.add("r1");
      fixture.crash("r1");
      await fixture.clock.advance(DOWN_MS);
      fixture.changeLeader();
      await fixture.clock.advance(DOWN_MS);
      vms.downVms.delete("r1");
      fixture.startRunner("r1");
      await finish(fixture);
      checkEachVmOnce(fixture);
    });
  });

  describe("in the log", () => {
    function listLines(fixture: SchedulingFixture, message: string) {
      return fixture.logger.lines.filter((line) => line.message === message)
        .map(({ fields }) => fields);
    }

    it("says why each VM counts as done", async () => {
      const fixture = await startWave();
      await finish(fixture);
      const back = listLines(fixture, "VMs are back from maintenance")
        .filter(({ waveId }) => waveId === 1)
        .flatMap(({ vms }) =>
          vms as { readonly vm: string; readonly awayMs: number }[]
        );
      assert.equal(back.map(({ vm }) => vm).toSorted(), WAVE_VMS);
      for (const { vm, awayMs } of back) {
        const started = fixture.vms?.startedMaintenances.find((known) =>
          known.vm === vm && known.waveId === 1
        );
        assert.ok(started);
        assert.ok(awayMs >= started.toMs - started.atMs, `${vm} is back`);
      }
    });

    it("is complete once", async () => {
      const fixture = await startWave();
      await finish(fixture);
      const complete = listLines(fixture, "a wave is complete");
      assert.equal(complete.map(({ waveId }) => waveId), [1]);
    });
  });

  // Guards against running a task twice: the answer of the VM control is read
  // before an answer to a poll that lists an end, so that the removal of the
  // runner is in the log before that end, and the task is placed again.
  it("starts no task again whose end was listed before its VM went down", async () => {
    const spans: RunSpan[] = [];
    for (let delayMs = 0; delayMs < WAVE_TICK_MS; delayMs += 50) {
      spans.push(...await runBusyWave(delayMs));
    }
    const listed = spans.filter(({ how, isListed }) =>
      how === "done" && isListed
    );
    const startedAgain = listed.filter((span) =>
      spans.some((other) =>
        other.task === span.task && other.runNumber > span.runNumber
      )
    );
    assert.ok(spans.some(({ how }) => how === "lost"), "a VM had work");
    assert.ok(listed.length > 0, "some tasks were done");
    assert.equal(startedAgain, []);
  });
});
