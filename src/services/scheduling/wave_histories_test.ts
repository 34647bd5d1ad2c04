import process from "node:process";
import * as fc from "fast-check";
import * as assert from "uvu/assert";
import { SeededRandom } from "../../adapters/random/index.ts";
import { describe, it } from "../../testing/describe.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import type { FakeVms } from "../../testing/fake_vms.ts";
import { SchedulingFixture } from "../../testing/scheduling_fixture.ts";

const SEED = Number(process.env["SEED"] ?? 20_479);
const RUN_COUNT = Number(process.env["RUNS"] ?? 40);
const TIME_LIMIT_MS = Number(process.env["TIME_LIMIT_MS"] ?? 30_000);
const VM_NAMES = ["r1", "r2", "r3", "r4", "r5", "r6"];
const MAX_STEP_COUNT = 16;
const MAX_STEP_MS = 3_000;
const TICK_MS = 100;
const SLOW_ORDER_MS = 400;
/** Enough for four waves over all VMs, one VM at a time, and their deadlines. */
const RECOVERY_MS = 150_000;

const ACTIONS = [
  "startWave",
  "startWave",
  "changeLeader",
  "loseAnswers",
  "slowOrders",
  "calm",
  "unlist",
  "spoil",
  "stop",
  "startAgain",
  "remove",
] as const;

const stepArbitrary = fc.record({
  action: fc.constantFrom(...ACTIONS),
  waitMs: fc.nat(MAX_STEP_MS),
  vms: fc.subarray(VM_NAMES, { minLength: 1 }),
  maxAwayCount: fc.integer({ min: 1, max: 3 }),
  durationMs: fc.integer({ min: 5_000, max: 40_000 }),
});

type Step = typeof stepArbitrary extends fc.Arbitrary<infer T> ? T : never;

/** Plays one history and checks each wave when it becomes complete. */
class WaveHistory {
  readonly #fixture: SchedulingFixture;
  readonly #vms: FakeVms;
  readonly #complete = new Set<number>();
  #waveCount = 0;

  constructor(seed: number) {
    this.#fixture = new SchedulingFixture({
      clock: new FakeClock(),
      random: new SeededRandom(seed),
      runnerIds: VM_NAMES,
      hasVms: true,
    });
    const { vms } = this.#fixture;
    assert.ok(vms);
    this.#vms = vms;
  }

  async play(steps: readonly Step[]): Promise<void> {
    this.#fixture.changeLeader();
    await this.#advance(2_000);
    for (const step of steps) {
      this.#act(step);
      await this.#advance(step.waitMs);
    }
    this.#calm();
    await this.#advance(RECOVERY_MS);
    await this.#fixture.stop();
    assert.is(this.#complete.size, this.#waveCount, "each wave is complete");
    this.#checkLimits();
  }

  #act({ action, durationMs, maxAwayCount, vms }: Step): void {
    const fixture = this.#fixture;
    const [first = ""] = vms;
    switch (action) {
      case "startWave":
        this.#startWave(vms, maxAwayCount, durationMs);
        return;
      case "changeLeader":
        fixture.changeLeader();
        return;
      case "loseAnswers":
        this.#vms.losesAnswers = true;
        return;
      case "slowOrders":
        this.#vms.latencyMs = SLOW_ORDER_MS;
        return;
      case "calm":
        this.#calm();
        return;
      case "unlist":
        vms.forEach((vm) => this.#vms.unlistedVms.add(vm));
        return;
      case "spoil":
        vms.forEach((vm) => this.#vms.unreadableVms.add(vm));
        return;
      case "stop":
        if (!this.#vms.isInMaintenance(first)) {
          this.#vms.downVms.add(first);
          fixture.crash(first);
        }
        return;
      case "startAgain":
        this.#startAgain();
        return;
      case "remove":
        this.#vms.goneVms.add(first);
        fixture.crash(first);
        return;
    }
  }

  #startWave(
    vms: readonly string[],
    maxAwayCount: number,
    durationMs: number,
  ): void {
    this.#waveCount += 1;
    const atMs = this.#fixture.clock.nowMs();
    this.#fixture.apply({
      type: "scheduling",
      atMs,
      operations: [{
        type: "wave",
        waveId: this.#waveCount,
        vms: [...vms],
        maxAwayCount,
        completeByMs: atMs + durationMs,
      }],
    });
  }

  #calm(): void {
    this.#vms.losesAnswers = false;
    this.#vms.latencyMs = 5;
    this.#vms.unlistedVms.clear();
    this.#vms.unreadableVms.clear();
    this.#startAgain();
  }

  #startAgain(): void {
    for (const vm of this.#vms.downVms) {
      if (!this.#vms.goneVms.has(vm)) {
        this.#fixture.startRunner(vm);
      }
    }
    this.#vms.downVms.clear();
  }

  async #advance(durationMs: number): Promise<void> {
    for (let leftMs = durationMs; leftMs > 0; leftMs -= TICK_MS) {
      await this.#fixture.clock.advance(Math.min(TICK_MS, leftMs));
      this.#checkComplete();
    }
  }

  #checkComplete(): void {
    const { waves } = this.#fixture.state.scheduling;
    for (const { progress, vms, waveId } of waves.values()) {
      const isNew = !this.#complete.has(waveId) &&
        vms.every((vm) => progress[vm] === "done");
      if (isNew) {
        this.#complete.add(waveId);
        const missing = vms.filter((vm) =>
          !this.#vms.goneVms.has(vm) &&
          !this.#vms.startedMaintenances.some((started) =>
            started.vm === vm && started.waveId === waveId
          )
        );
        assert.equal(missing, [], `VMs that wave ${waveId} left out`);
      }
    }
  }

  #checkLimits(): void {
    const started = this.#vms.startedMaintenances;
    for (const { atMs, waveId } of started) {
      const wave = this.#fixture.state.scheduling.waves.get(waveId);
      assert.ok(wave);
      const awayCount = started.filter((other) =>
        wave.vms.includes(other.vm) && other.atMs <= atMs && other.toMs > atMs
      ).length;
      assert.ok(
        awayCount <= wave.maxAwayCount,
        `${awayCount} VMs of wave ${waveId} were in maintenance at ${atMs}`,
      );
    }
  }
}

describe("waves under random faults", () => {
  // Guards against waves that are complete without the maintenance of a VM, and
  // against more VMs in maintenance than a wave allows.
  it("maintain each VM for each wave within the limit of each", async () => {
    const histories = fc.asyncProperty(
      fc.array(stepArbitrary, { maxLength: MAX_STEP_COUNT, size: "max" }),
      fc.nat(1_000),
      (steps, seed) => new WaveHistory(seed).play(steps),
    );
    await fc.assert(histories, {
      seed: SEED,
      numRuns: RUN_COUNT,
      interruptAfterTimeLimit: TIME_LIMIT_MS,
      markInterruptAsFailure: false,
      includeErrorInReport: true,
    });
  });
});
