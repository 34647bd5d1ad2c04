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

function startWave(fixture: SchedulingFixture): void {
  const atMs = fixture.clock.nowMs();
  fixture.apply({
    type: "scheduling",
    atMs,
    operations: [{ type: "wave", ...WAVE, completeByMs: atMs + WAVE_MS }],
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
  const progress = state.scheduling.waves.get(WAVE.waveId)?.progress ?? {};
  return WAVE.vms.every((vm) => progress[vm] === "done");
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
