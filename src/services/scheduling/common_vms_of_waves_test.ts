import * as assert from "uvu/assert";
import { SeededRandom } from "../../adapters/random/index.ts";
import { describe, it } from "../../testing/describe.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { SchedulingFixture } from "../../testing/scheduling_fixture.ts";

const SEED = 20_477;
const VM_NAMES = ["r1", "r2", "r3", "r4", "r5", "r6"];
const MAX_WAIT_MS = 60_000;
/** Time until an order takes effect while the platform is slow (ms). */
const SLOW_ORDER_MS = 250;

interface Wave {
  readonly waveId: number;
  readonly vms: readonly string[];
  readonly maxAwayCount: number;
  readonly durationMs: number;
}

const FIRST_WAVE: Wave = {
  waveId: 1,
  vms: ["r1", "r2", "r3", "r4"],
  maxAwayCount: 2,
  durationMs: 20_000,
};
const SECOND_WAVE: Wave = {
  waveId: 2,
  vms: ["r2", "r3", "r4", "r5"],
  maxAwayCount: 2,
  durationMs: 40_000,
};

async function setUp(seed = SEED): Promise<SchedulingFixture> {
  const fixture = new SchedulingFixture({
    clock: new FakeClock(),
    random: new SeededRandom(seed),
    runnerIds: VM_NAMES,
    hasVms: true,
  });
  fixture.changeLeader();
  await fixture.clock.advance(2_000);
  return fixture;
}

function startWave(fixture: SchedulingFixture, wave: Wave): void {
  const { durationMs, vms, ...limits } = wave;
  const atMs = fixture.clock.nowMs();
  const completeByMs = atMs + durationMs;
  fixture.apply({
    type: "scheduling",
    atMs,
    operations: [{ type: "wave", ...limits, vms: [...vms], completeByMs }],
  });
}

function isDone({ state }: SchedulingFixture, waveId: number): boolean {
  const wave = state.scheduling.waves.get(waveId);
  return wave !== undefined &&
    wave.vms.every((vm) => wave.progress[vm] === "done");
}

/** Waits until a wave is complete, and returns the VMs that it left out. */
async function finish(
  fixture: SchedulingFixture,
  { vms, waveId }: Wave,
): Promise<string[]> {
  for (
    let waitedMs = 0;
    waitedMs < MAX_WAIT_MS && !isDone(fixture, waveId);
    waitedMs += 100
  ) {
    await fixture.clock.advance(100);
  }
  assert.ok(isDone(fixture, waveId), `wave ${waveId} is complete`);
  return vms.filter((vm) => countMaintenances(fixture, waveId, vm) === 0);
}

function countMaintenances(
  { vms }: SchedulingFixture,
  waveId: number,
  vm: string,
): number {
  return (vms?.startedMaintenances ?? []).filter((started) =>
    started.waveId === waveId && started.vm === vm
  ).length;
}

function checkOnce(fixture: SchedulingFixture, wave: Wave): void {
  for (const vm of wave.vms) {
    assert.is(
      countMaintenances(fixture, wave.waveId, vm),
      1,
      `maintenances of ${vm} for wave ${wave.waveId}`,
    );
  }
}

describe("waves over common VMs", () => {
  describe("one after the other", () => {
    // Guards against a wave that is complete without the maintenance of a VM: the
    // maintenance for an earlier wave counted.
    it("maintain each VM for each of them", async () => {
      const fixture = await setUp();
      startWave(fixture, FIRST_WAVE);
      assert.equal(await finish(fixture, FIRST_WAVE), []);
      startWave(fixture, SECOND_WAVE);
      assert.equal(await finish(fixture, SECOND_WAVE), []);
      await fixture.stop();
      checkOnce(fixture, FIRST_WAVE);
      checkOnce(fixture, SECOND_WAVE);
    });

    it("maintain each VM for each of them under several leaders", async () => {
      const fixture = await setUp();
      startWave(fixture, FIRST_WAVE);
      assert.equal(await finish(fixture, FIRST_WAVE), []);
      fixture.changeLeader();
      startWave(fixture, SECOND_WAVE);
      await fixture.clock.advance(2_500);
      fixture.changeLeader();
      assert.equal(await finish(fixture, SECOND_WAVE), []);
      await fixture.stop();
      checkOnce(fixture, SECOND_WAVE);
    });

    // Guards against the same: orders that an earlier leader had logged for the
    // second wave were taken for those that the first one had confirmed.
    it("maintain each VM whose order a leader logged and did not send", async () => {
      const fixture = await setUp();
      startWave(fixture, FIRST_WAVE);
      assert.equal(await finish(fixture, FIRST_WAVE), []);
      startWave(fixture, SECOND_WAVE);
      fixture.apply({
        type: "scheduling",
        atMs: fixture.clock.nowMs(),
        operations: SECOND_WAVE.vms.slice(0, SECOND_WAVE.maxAwayCount).map(
          (vm) => ({ type: "upkeep", waveId: 2, vm, state: "ordered" }),
        ),
      });
      assert.equal(await finish(fixture, SECOND_WAVE), []);
      await fixture.stop();
      checkOnce(fixture, SECOND_WAVE);
    });
  });

  describe("at the same time", () => {
    async function runBoth(
      gapMs: number,
      disturb: (fixture: SchedulingFixture) => Promise<void>,
    ): Promise<SchedulingFixture> {
      const fixture = await setUp();
      startWave(fixture, FIRST_WAVE);
      await fixture.clock.advance(gapMs);
      startWave(fixture, SECOND_WAVE);
      await disturb(fixture);
      assert.equal(await finish(fixture, FIRST_WAVE), []);
      assert.equal(await finish(fixture, SECOND_WAVE), []);
      await fixture.stop();
      checkOnce(fixture, FIRST_WAVE);
      checkOnce(fixture, SECOND_WAVE);
      return fixture;
    }

    it("maintain each VM for each of them", async () => {
      for (let gapMs = 0; gapMs < 4_000; gapMs += 350) {
        await runBoth(gapMs, async () => {});
      }
    });

    it("maintain each VM for each of them under several leaders", async () => {
      for (let gapMs = 0; gapMs < 4_000; gapMs += 350) {
        await runBoth(gapMs, async (fixture) => {
          await fixture.clock.advance(gapMs / 2);
          fixture.changeLeader();
          await fixture.clock.advance(1_000);
          fixture.changeLeader();
        });
      }
    });

    it("maintain each VM while answers are lost", async () => {
      await runBoth(700, async ({ clock, vms }) => {
        assert.ok(vms);
        vms.losesAnswers = true;
        await clock.advance(8_000);
        vms.losesAnswers = false;
      });
    });

    // Guards against orders that the platform can only refuse: the list was older
    // than an order for the other wave.
    it("send no order for a VM that is in maintenance for the other", async () => {
      for (let gapMs = 0; gapMs < 4_000; gapMs += 350) {
        const { logger } = await runBoth(gapMs, async ({ vms }) => {
          assert.ok(vms);
          vms.latencyMs = SLOW_ORDER_MS;
          await Promise.resolve();
        });
        const busyCount = logger.lines.filter(({ fields, message }) =>
          message === "failed to begin the maintenance of a VM" &&
          JSON.stringify(fields).includes("busy")
        ).length;
        assert.is(busyCount, 0);
      }
    });

    // Guards against more unavailable VMs of a wave than it allows: those that
    // were in maintenance for the other one did not count.
    it("have no more VMs in maintenance than each allows", async () => {
      const narrow = { ...SECOND_WAVE, maxAwayCount: 1 };
      const fixture = await setUp();
      startWave(fixture, FIRST_WAVE);
      startWave(fixture, narrow);
      assert.equal(await finish(fixture, FIRST_WAVE), []);
      assert.equal(await finish(fixture, narrow), []);
      await fixture.stop();
      const started = fixture.vms?.startedMaintenances ?? [];
      for (const wave of [FIRST_WAVE, narrow]) {
        for (const { atMs, waveId } of started) {
          const awayCount = started.filter((other) =>
            wave.vms.includes(other.vm) && other.atMs <= atMs &&
            other.toMs > atMs
          ).length;
          assert.ok(
            waveId !== wave.waveId || awayCount <= wave.maxAwayCount,
            `${awayCount} VMs of wave ${wave.waveId} at ${atMs}`,
          );
        }
      }
    });
  });

  // Guards against a wave that waits for one whose orders are refused.
  it("continue when the platform refuses a VM for one of them", async () => {
    const fixture = await setUp();
    fixture.vms?.refusedWaveIds.add(FIRST_WAVE.waveId);
    startWave(fixture, FIRST_WAVE);
    await fixture.clock.advance(2_000);
    startWave(fixture, SECOND_WAVE);
    assert.equal(await finish(fixture, SECOND_WAVE), []);
    assert.not(isDone(fixture, FIRST_WAVE.waveId));
    await fixture.stop();
  });
});
