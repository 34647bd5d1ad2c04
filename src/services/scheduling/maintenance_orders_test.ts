import * as assert from "uvu/assert";
import * as v from "valibot";
import { SeededRandom } from "../../adapters/random/index.ts";
import { jobStepSchema } from "../../domain/index.ts";
import { describe, it } from "../../testing/describe.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import type { FakeVms } from "../../testing/fake_vms.ts";
import { SchedulingFixture } from "../../testing/scheduling_fixture.ts";
import { WAVE_TICK_MS } from "./timing.ts";

const SEED = 20_533;
const JOB_ID = "00000000000000ab";
const MAX_WAIT_MS = 60_000;
/** Time until an order takes effect while the platform is slow (ms). */
const SLOW_ORDER_MS = 250;
/** Longest time of a commit under load (ms). */
const SLOW_COMMIT_MS = 300;

interface Wave {
  readonly vmCount: number;
  readonly maxAwayCount: number;
  readonly durationMs: number;
}

async function setUp(runnerCount: number): Promise<SchedulingFixture> {
  const fixture = new SchedulingFixture({
    clock: new FakeClock(),
    random: new SeededRandom(SEED),
    runnerIds: Array.from({ length: runnerCount }, (_, at) => `r${at}`),
    hasVms: true,
  });
  fixture.changeLeader();
  await fixture.clock.advance(2_000);
  return fixture;
}

function startWave(fixture: SchedulingFixture, wave: Wave): void {
  const atMs = fixture.clock.nowMs();
  fixture.apply({
    type: "scheduling",
    atMs,
    operations: [{
      type: "wave",
      waveId: 1,
      vms: Array.from({ length: wave.vmCount }, (_, at) => `r${at}`),
      maxAwayCount: wave.maxAwayCount,
      completeByMs: atMs + wave.durationMs,
    }],
  });
}

function isWaveDone({ state }: SchedulingFixture): boolean {
  const { vms = [], progress = {} } = state.scheduling.waves.get(1) ?? {};
  return vms.length > 0 && vms.every((vm) => progress[vm] === "done");
}

/** Returns the time until the wave was complete (ms). */
async function finish(fixture: SchedulingFixture): Promise<number> {
  const { clock } = fixture;
  const fromMs = clock.monotonicMs();
  while (!isWaveDone(fixture) && clock.monotonicMs() - fromMs < MAX_WAIT_MS) {
    await clock.advance(50);
  }
  assert.ok(isWaveDone(fixture), "the wave is complete");
  const tookMs = clock.monotonicMs() - fromMs;
  await fixture.stop();
  return tookMs;
}

/** Returns when the maintenance of a VM began (ms). */
function findDownMs(vms: FakeVms | undefined, vm: string): number {
  return vms?.startedMaintenances.find((started) => started.vm === vm)
    ?.atMs ?? Infinity;
}

describe("orders to maintain VMs", () => {
  // Guards against ending more tasks of a step than may be unavailable: they
  // were placed on a VM whose order was on its way.
  it("end no tasks that are placed while they are under way", async () => {
    for (let delayMs = 0; delayMs < WAVE_TICK_MS; delayMs += 50) {
      const fixture = await setUp(6);
      const { clock, runners, vms } = fixture;
      assert.ok(vms);
      vms.latencyMs = SLOW_ORDER_MS;
      fixture.maxCommitDelayMs = SLOW_COMMIT_MS;
      startWave(fixture, { vmCount: 3, maxAwayCount: 1, durationMs: 60_000 });
      await clock.advance(delayMs);
      void fixture.submit(JOB_ID, [v.parse(jobStepSchema, {
        taskCount: 3,
        needs: { cpuMillicores: 2_000 },
        isEndless: true,
        maxAwayCount: 1,
      })]);
      await finish(fixture);
      const lostAtMs = runners.spans.filter(({ how }) => how === "lost")
        .map(({ toMs }) => toMs);
      assert.is(
        new Set(lostAtMs).size,
        lostAtMs.length,
        `tasks that ended at once, ${delayMs} ms after the wave began`,
      );
    }
  });

  // Guards against two leaders that order at the same time: the lease was checked
  // once for many orders, and the others left after it had been lost.
  it("are sent by no leader that has lost its lease", async () => {
    const fixture = await setUp(40);
    const { clock, vms } = fixture;
    assert.ok(vms);
    vms.latencyMs = SLOW_ORDER_MS;
    startWave(fixture, { vmCount: 40, maxAwayCount: 40, durationMs: 30_000 });
    while (vms.requests.length === 0) {
      await clock.advance(1);
    }
    await clock.advance(1);
    assert.ok(vms.requests.length < 40, "orders are left");
    const changedAtMs = clock.monotonicMs();
    fixture.changeLeader();
    await finish(fixture);
    const late = vms.requests.filter(({ atMs, fencingToken }) =>
      fencingToken === 1 && atMs > changedAtMs
    );
    assert.equal(late, []);
  });

  // Guards against a wave that is never complete: an earlier leader logged the
  // order and did not send it, and more tasks run on the VM than may stop.
  it("wait until tasks have moved away, also if another leader logged them", async () => {
    const fixture = await setUp(3);
    const { clock, runners } = fixture;
    void fixture.submit(JOB_ID, [v.parse(jobStepSchema, {
      taskCount: 3,
      needs: { cpuMillicores: 2_000 },
      isEndless: true,
      maxAwayCount: 1,
    })]);
    await clock.advance(1_000);
    const vm = runners.spans[0]?.runnerId ?? "";
    assert.ok(runners.spans.every(({ runnerId }) => runnerId === vm));
    startWave(fixture, { vmCount: 3, maxAwayCount: 1, durationMs: 30_000 });
    fixture.apply({
      type: "scheduling",
      atMs: clock.nowMs(),
      operations: [{ type: "upkeep", waveId: 1, vm, state: "ordered" }],
    });
    fixture.changeLeader();
    await finish(fixture);
    const lostAtMs = runners.spans.filter(({ how }) => how === "lost")
      .map(({ toMs }) => toMs);
    assert.is(new Set(lostAtMs).size, lostAtMs.length, "one task at a time");
  });

  // Guards against waves that are late because tasks come back to the VM that
  // they were moved away from: it was cordoned only while nothing else of their
  // step was unavailable. The pattern: many tasks of few steps on each VM.
  it("keep VMs cordoned until their turn", async () => {
    const fixture = await setUp(10);
    const { clock, runners, vms } = fixture;
    for (let job = 0; job < 6; job += 1) {
      void fixture.submit(`${job}`.padStart(16, "0"), [v.parse(jobStepSchema, {
        taskCount: 6,
        needs: { cpuMillicores: 1_000 },
        isEndless: true,
        maxAwayCount: 1,
      })]);
      await clock.advance(20);
    }
    await clock.advance(1_500);
    startWave(fixture, { vmCount: 6, maxAwayCount: 2, durationMs: 60_000 });
    await finish(fixture);
    const moved = runners.spans.filter(({ how }) => how === "stopped");
    assert.ok(moved.length > 0, "tasks were moved away");
    const cameBack = moved.filter(({ runnerId, task, toMs }) =>
      runners.spans.some((later) =>
        later.task === task && later.runnerId === runnerId &&
        later.fromMs >= toMs && later.fromMs < findDownMs(vms, runnerId)
      )
    );
    assert.equal(cameBack, []);
  });

  // Guards against waves that are late because each order waits for the commits
  // of all others. The pattern: a wave of a large fleet under load.
  it("are in time for many VMs while commits are slow", async () => {
    const fixture = await setUp(60);
    fixture.maxCommitDelayMs = SLOW_COMMIT_MS;
    const wave = { vmCount: 60, maxAwayCount: 20, durationMs: 15_000 };
    startWave(fixture, wave);
    const tookMs = await finish(fixture);
    assert.ok(tookMs <= wave.durationMs, `${tookMs} ms`);
    assert.ok((fixture.vms?.maxUnavailableCount ?? 0) <= wave.maxAwayCount);
  });
});
