import * as assert from "uvu/assert";
import * as v from "valibot";
import { SeededRandom } from "../../adapters/random/index.ts";
import { jobStepSchema } from "../../domain/index.ts";
import { describe, it } from "../../testing/describe.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { SchedulingFixture } from "../../testing/scheduling_fixture.ts";

const SEED = 20_511;
const VM_NAMES = Array.from({ length: 10 }, (_, at) => `r${at}`);
const WAVE = {
  waveId: 1,
  vms: VM_NAMES.slice(0, 6),
  maxAwayCount: 3,
};
const WAVE_MS = 60_000;
/** Time until the wave is requested, amid the demand (ms). */
const BEFORE_WAVE_MS = 1_000;
const TURN_MS = 5_000;
const JOB_INTERVAL_MS = 50;
const RUN_MS = 400;
/** Eight tasks of one core keep 64 of the 80 cores busy. */
const STEP = v.parse(jobStepSchema, {
  taskCount: 8,
  needs: { cpuMillicores: 1_000 },
  estimateMs: RUN_MS,
});
/** The objective of a job: the stretched estimate and the target latency (ms). */
const OBJECTIVE_MS = 1.6 * RUN_MS + 600;

interface SubmittedJob {
  readonly jobId: string;
  readonly atMs: number;
}

function createFixture(): SchedulingFixture {
  const fixture = new SchedulingFixture({
    clock: new FakeClock(),
    random: new SeededRandom(SEED),
    runnerIds: VM_NAMES,
    hasVms: true,
  });
  fixture.changeLeader();
  return fixture;
}

function startWave(fixture: SchedulingFixture, wave = WAVE): void {
  const atMs = fixture.clock.nowMs();
  fixture.apply({
    type: "scheduling",
    atMs,
    operations: [{ type: "wave", ...wave, completeByMs: atMs + WAVE_MS }],
  });
}

async function submitFor(
  fixture: SchedulingFixture,
  durationMs: number,
  jobs: SubmittedJob[],
): Promise<void> {
  const { clock } = fixture;
  for (let passedMs = 0; passedMs < durationMs; passedMs += JOB_INTERVAL_MS) {
    const jobId = String(jobs.length + 1).padStart(16, "0");
    jobs.push({ jobId, atMs: clock.monotonicMs() });
    void fixture.submit(jobId, [STEP]);
    await clock.advance(JOB_INTERVAL_MS);
  }
}

function countLate(
  { runners: { spans } }: SchedulingFixture,
  jobs: readonly SubmittedJob[],
): number {
  return jobs.filter(({ atMs, jobId }) => {
    const done = spans.filter(({ how, task }) =>
      how === "done" && task.startsWith(jobId)
    );
    const inTime = done.filter(({ toMs }) => toMs <= atMs + OBJECTIVE_MS);
    return inTime.length < STEP.taskCount;
  }).length;
}

function isWaveDone({ state }: SchedulingFixture): boolean {
  const { progress = {}, vms = [] } = state.scheduling.waves.get(WAVE.waveId) ??
    {};
  return vms.length > 0 && vms.every((vm) => progress[vm] === "done");
}

// The pattern: a queue in its turn needs nearly all VMs of its pool for some
// seconds, and a wave that could wait is requested in the midst of it.
describe("a wave that is requested in the turn of a queue", () => {
  // Guards against the failure SHORT: the wave cordoned twice as many VMs as it
  // could maintain at once, whatever work waited for them.
  it("leaves the room that the turn needs, as it has time", async () => {
    const fixture = createFixture();
    await fixture.clock.advance(2_000);
    const jobs: SubmittedJob[] = [];
    await submitFor(fixture, BEFORE_WAVE_MS, jobs);
    startWave(fixture);
    await submitFor(fixture, TURN_MS, jobs);
    await fixture.clock.advance(WAVE_MS - TURN_MS);
    await fixture.stop();
    assert.is(countLate(fixture, jobs), 0, `late jobs of ${jobs.length}`);
    assert.ok(isWaveDone(fixture), "the wave is complete in time");
  });

  // Guards against a wave that waits for room until it is late.
  it("is complete in time when the demand lasts until its deadline", async () => {
    const fixture = createFixture();
    await fixture.clock.advance(2_000);
    const jobs: SubmittedJob[] = [];
    await submitFor(fixture, BEFORE_WAVE_MS, jobs);
    startWave(fixture);
    await submitFor(fixture, WAVE_MS, jobs);
    await fixture.stop();
    assert.ok(isWaveDone(fixture), "the wave is complete in time");
    const maxUnavailableCount = fixture.vms?.maxUnavailableCount ?? 0;
    assert.ok(maxUnavailableCount <= WAVE.maxAwayCount);
  });
});

const LASTING_JOB_ID = "00000000000000ab";
const LASTING_TASK_COUNT = 3;
/** A wave of all VMs but as many as there are tasks, one at a time. */
const LONG_WAVE = {
  waveId: WAVE.waveId,
  vms: VM_NAMES.slice(0, -LASTING_TASK_COUNT),
  maxAwayCount: 1,
};

// The pattern: long-running tasks, each on a VM of its own, on the VMs of a wave.
describe("a wave beside long-running tasks", () => {
  // Guards against waves that are late, and against tasks that are stopped again
  // and again: they were moved to VMs that waited for their own maintenance.
  it("moves each task once at most", async () => {
    const fixture = createFixture();
    await fixture.clock.advance(2_000);
    void fixture.submit(LASTING_JOB_ID, [v.parse(jobStepSchema, {
      taskCount: LASTING_TASK_COUNT,
      needs: { cpuMillicores: 2_000 },
      isEndless: true,
      maxPerRunner: 1,
      maxAwayCount: 1,
    })]);
    await fixture.clock.advance(1_000);
    startWave(fixture, LONG_WAVE);
    await fixture.clock.advance(WAVE_MS);
    await fixture.stop();
    assert.ok(isWaveDone(fixture), "the wave is complete in time");
    const { spans } = fixture.runners;
    const runCounts = Array.from(
      { length: LASTING_TASK_COUNT },
      (_, index) =>
        spans.filter(({ task }) => task === `${LASTING_JOB_ID}.0.0.${index}`)
          .length,
    );
    assert.ok(
      runCounts.every((count) => count <= 2),
      `runs of each task: ${runCounts.join(", ")}`,
    );
  });
});
